#include "StallMeter.h"

#include <algorithm>

namespace jayhold::soak {

StallMeter::StallMeter()
{
    m_thread = std::thread([this] {
        constexpr Duration interval = std::chrono::milliseconds(20);
        while (!m_isStopping) {
            const auto expected = monotonicNow() + interval;
            std::this_thread::sleep_for(interval);
            m_longest = std::max(m_longest.load(), Duration(monotonicNow() - expected));
        }
    });
}

StallMeter::~StallMeter()
{
    m_isStopping = true;
    m_thread.join();
}

}
