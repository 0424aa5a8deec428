#include "zinniadoor/ports/platform.hpp"

namespace zinniadoor::ports {

const char *nameOf(EndpointOrderKind kind)
{
    switch (kind) {
    case EndpointOrderKind::Start:
        return "start";
    case EndpointOrderKind::Stop:
        return "stop";
    case EndpointOrderKind::Role:
        return "role";
    case EndpointOrderKind::LoadModel:
        return "load_model";
    }
    return "role";
}

} // namespace zinniadoor::ports
