#include "zinniadoor/control/state.hpp"

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::control {

namespace {

/// Version of the encoding; to be changed whenever the meaning of the bytes changes.
constexpr std::uint32_t StateFormat = 1;

/// Inactive processes are evicted at every offset divisible by this: rarely, and at the same
/// offsets for every reader.
constexpr base::Offset EvictEveryFrames = 1024;

/// Encodes a state with its format version, without a copy.
struct StateEncoder
{
    const State &state;

    template <typename Archive>
    void save(Archive &archive) const
    {
        archive(StateFormat, state);
    }
};

struct StateDecoder
{
    State state;

    template <typename Archive>
    void load(Archive &archive)
    {
        std::uint32_t format = 0;
        archive(format);
        if (format != StateFormat)
            throw cereal::Exception("state has another format version");
        archive(state);
    }
};

bool isConfiguration(const Record &record)
{
    return std::holds_alternative<BundlePublished>(record)
        || std::holds_alternative<KeyWithdrawn>(record);
}

} // namespace

/// Dispatches each kind of record to the part of the state that applies it.
class RecordApplier
{
public:
    RecordApplier(State &state, const PreparedFrame &prepared)
        : state_(state)
        , writer_ { prepared.frame.writer, prepared.frame.incarnation }
        , offset_(state.appliedThrough_)
        , nextBundle_(prepared.bundles.begin())
    { }

    base::Status operator()(const BundlePublished &record)
    {
        return state_.configuration_.apply(record, writer_.instance, offset_, *nextBundle_++);
    }
    base::Status operator()(const KeyWithdrawn &record)
    {
        return state_.configuration_.apply(record, writer_.instance, offset_);
    }
    base::Status operator()(const InstanceStarted &record)
    {
        return state_.instances_.apply(record, writer_, offset_);
    }
    base::Status operator()(const InstanceStopped &record)
    {
        base::Status status = state_.instances_.apply(record, writer_);
        if (status) {
            state_.leases_.releaseAll(writer_, offset_);
            state_.actions_.removeClock(writer_.instance);
        }
        return status;
    }
    base::Status operator()(const AttestationWithdrawn &record)
    {
        return state_.instances_.apply(record, writer_, offset_);
    }
    base::Status operator()(const LeaseClaimed &record)
    {
        return state_.leases_.apply(record, writer_, offset_, state_.instances_);
    }
    base::Status operator()(const LeaseReleased &record)
    {
        return state_.leases_.apply(record, writer_, offset_);
    }
    base::Status operator()(const OrderOpened &record)
    {
        return state_.orders_.apply(record, writer_, orderRules());
    }
    base::Status operator()(const OrderClosed &record)
    {
        return state_.orders_.apply(record, writer_, orderRules());
    }
    base::Status operator()(const ActionClaimed &record)
    {
        const auto &bundle = state_.configuration_.bundle();
        const std::int64_t retention
            = bundle ? bundle->actionRetentionSeconds : Bundle {}.actionRetentionSeconds;
        return state_.actions_.apply(record, writer_, offset_, retention);
    }
    base::Status operator()(const ActionFinished &record)
    {
        return state_.actions_.apply(record, writer_);
    }
    base::Status operator()(const UsageCounted &record)
    {
        return state_.usage_.apply(record, offset_);
    }
    base::Status operator()(const WindowClosed &record)
    {
        return state_.usage_.apply(record, writer_, state_.leases_);
    }
    base::Status operator()(const WindowReported &record)
    {
        return state_.usage_.apply(record, writer_, state_.leases_);
    }
    base::Status operator()(const SnapshotPart &record)
    {
        return state_.snapshots_.apply(record, writer_, offset_);
    }

private:
    OrderContext orderRules() const
    {
        return { state_.configuration_, state_.instances_, state_.leases_ };
    }

    State &state_;
    Process writer_;
    base::Offset offset_;
    std::vector<ParsedBundle>::const_iterator nextBundle_;
};

PreparedFrame prepareFrame(Frame frame)
{
    PreparedFrame prepared { std::move(frame), {} };
    for (const Record &record : prepared.frame.records) {
        if (const auto *published = std::get_if<BundlePublished>(&record))
            prepared.bundles.push_back(parsePublished(*published));
    }
    return prepared;
}

ApplyResult State::applyPrepared(const PreparedFrame &prepared, base::Offset offset)
{
    const Frame &frame = prepared.frame;
    ApplyResult result;
    if (offset <= appliedThrough_) {
        result.frame
            = base::Reason { base::ReasonCode::Conflict, "the offset has already been applied" };
        return result;
    }
    advance(offset);
    result.frame = instances_.admit(frame, offset);
    if (!result.frame)
        return result;
    RecordApplier applier(*this, prepared);
    const bool fromTool = isOperatorTool(frame.writer);
    for (const Record &record : frame.records) {
        if (fromTool && !isConfiguration(record))
            result.records.emplace_back(base::Reason {
                base::ReasonCode::Forbidden, "a tool may only write configuration records" });
        else
            result.records.push_back(std::visit(applier, record));
    }
    return result;
}

void State::advance(base::Offset offset)
{
    appliedThrough_ = offset;
    if (offset % EvictEveryFrames == 0)
        evictInactive();
}

void State::evictInactive()
{
    std::vector<Process> candidates;
    for (const auto &[process, info] : instances_.processes())
        candidates.push_back(process);
    instances_.evictInactive(appliedThrough_, [this](const Process &process) {
        return leases_.holdsAny(process) || orders_.hasOpenOrderOf(process);
    });
    usage_.evictInactive(appliedThrough_);
    for (const Process &process : candidates) {
        if (instances_.find(process) != nullptr)
            continue;
        snapshots_.evict(process);
        if (instances_.newestIncarnation(process.instance) == 0)
            actions_.removeClock(process.instance);
    }
}

std::string encodeState(const State &state)
{
    return base::encode(StateEncoder { state });
}

base::Outcome<State> decodeState(const std::string &bytes)
{
    base::Outcome<StateDecoder> read = base::decode<StateDecoder>(bytes);
    if (!read)
        return read.lastReason();
    return std::move(read->state);
}

} // namespace zinniadoor::control
