#include "entry/thread_time.hpp"

#include <ctime>
#include <fstream>
#include <unistd.h>

namespace lacewingquay::entry
{

double thread_cpu_seconds()
{
    constexpr double nanoseconds_per_second = 1e9;
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_nsec) / nanoseconds_per_second;
}

double resident_bytes()
{
    std::ifstream statm("/proc/self/statm");
    double total_pages = 0.0;
    double resident_pages = 0.0;
    statm >> total_pages >> resident_pages;
    return statm ? resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE)) : 0.0;
}

} // namespace lacewingquay::entry
