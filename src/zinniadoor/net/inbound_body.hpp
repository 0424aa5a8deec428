#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <optional>
#include <utility>

#include "zinniadoor/net/inbound_bytes.hpp"

namespace zinniadoor::net {

/// Room of the body of one request. Without an owner there is always room.
class InboundBody
{
public:
    explicit InboundBody(InboundBytes *owner)
        : owner_(owner)
    { }
    ~InboundBody() { reset(); }
    InboundBody(const InboundBody &) = delete;
    InboundBody &operator=(const InboundBody &) = delete;

    bool hasOwner() const { return owner_ != nullptr; }

    /// Bytes to read before the next call of `reserve`, of a body without an announced length. Room
    /// for a large one is needed only once it has proved to be large.
    static std::size_t nextTarget(std::size_t received, std::size_t maxBody)
    {
        constexpr std::size_t FirstStep = std::size_t { 16 } * 1024;
        constexpr std::size_t SmallBody = std::size_t { 128 } * 1024;
        for (const std::size_t step : { FirstStep, SmallBody }) {
            if (received < step)
                return std::min(step, std::max(received + 1, maxBody));
        }
        return std::max(received + 1, maxBody);
    }

    /// Whether the body may be read up to `bytes` bytes; else `actions.resume` is called later.
    template <typename MakeActions>
    bool reserve(std::size_t bytes, MakeActions makeActions)
    {
        if (!owner_)
            return true;
        if (!id_)
            id_ = owner_->add(makeActions());
        isWaiting_ = !owner_->reserve(*id_, bytes);
        return !isWaiting_;
    }

    bool isWaiting() const { return isWaiting_; }
    void noteComplete()
    {
        if (id_)
            owner_->noteComplete(*id_);
    }
    void noteRefusal(InboundRefusal refusal)
    {
        if (owner_)
            owner_->noteRefusal(refusal);
    }

    /// Gives the room back.
    void reset()
    {
        isWaiting_ = false;
        if (const auto id = std::exchange(id_, std::nullopt))
            owner_->remove(*id);
    }

private:
    InboundBytes *owner_;
    std::optional<InboundBytes::Id> id_;
    bool isWaiting_ = false;
};

} // namespace zinniadoor::net
