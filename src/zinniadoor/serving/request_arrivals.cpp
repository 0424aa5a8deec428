#include "zinniadoor/serving/request_arrivals.hpp"

namespace zinniadoor::serving {

void RequestArrivals::noteUnconnected()
{
    ++unconnected_;
    if (arrivals_ > 0)
        --arrivals_;
}

void RequestArrivals::noteRelayFailed()
{
    --arrivals_;
    ++relayFailures_;
}

} // namespace zinniadoor::serving
