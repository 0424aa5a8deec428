#include "zinniadoor/gateway/log_snapshot.hpp"

#include <algorithm>

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include "zinniadoor/base/codec.hpp"

namespace zinniadoor::gateway {

namespace {

namespace zlib = boost::beast::zlib;
using base::Reason;
using base::ReasonCode;

struct SnapshotRecord
{
    std::string key;
    std::string value;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(key, value);
    }
};

struct Snapshot
{
    std::vector<SnapshotRecord> records;

    template <typename Archive>
    void serialize(Archive &archive)
    {
        archive(records);
    }
};

constexpr std::size_t OutputStep = std::size_t { 64 } * 1024;

/// The routes of a configuration resemble each other: the fastest level finds most of that.
constexpr int CompressionLevel = 1;
constexpr int WindowBits = 15;
constexpr int MemoryLevel = 8;

std::string compress(const std::string &bytes)
{
    zlib::deflate_stream stream;
    stream.reset(CompressionLevel, WindowBits, MemoryLevel, zlib::Strategy::normal);
    std::string out(stream.upper_bound(bytes.size()) + OutputStep, '\0');
    zlib::z_params step;
    step.next_in = bytes.data();
    step.avail_in = bytes.size();
    step.next_out = out.data();
    step.avail_out = out.size();
    boost::system::error_code error;
    stream.write(step, zlib::Flush::finish, error);
    out.resize(step.total_out);
    out.shrink_to_fit();
    return out;
}

base::Outcome<std::string> decompress(const std::string &bytes)
{
    zlib::inflate_stream stream;
    std::string out;
    zlib::z_params step;
    step.next_in = bytes.data();
    step.avail_in = bytes.size();
    boost::system::error_code error;
    while (!error) {
        if (out.size() >= MaxSnapshotBytes)
            return Reason { ReasonCode::InvalidArgument, "the snapshot is too long" };
        const std::size_t done = out.size();
        out.resize(done + OutputStep);
        step.next_out = out.data() + done;
        step.avail_out = OutputStep;
        stream.write(step, zlib::Flush::sync, error);
        out.resize(done + OutputStep - step.avail_out);
        if (!error && step.avail_in == 0 && step.avail_out > 0)
            break; // Without the end of the stream.
    }
    if (error != zlib::error::end_of_stream)
        return Reason { ReasonCode::InvalidArgument, "the snapshot cannot be decompressed" };
    return out;
}

} // namespace

std::string encodeSnapshot(const std::vector<KeyedRecord> &records)
{
    Snapshot snapshot;
    for (const KeyedRecord &record : records) {
        if (record.value)
            snapshot.records.push_back({ record.key, *record.value });
    }
    return compress(base::encode(snapshot));
}

base::Outcome<std::vector<KeyedRecord>> decodeSnapshot(const std::string &bytes)
{
    const auto text = decompress(bytes);
    if (!text)
        return text.lastReason();
    auto snapshot = base::decode<Snapshot>(*text);
    if (!snapshot)
        return snapshot.lastReason();
    std::vector<KeyedRecord> records;
    for (SnapshotRecord &record : snapshot->records)
        records.push_back({ std::move(record.key), std::move(record.value) });
    return records;
}

void SnapshotKeeper::onNewest(const NewestRecords &newest)
{
    values_.clear();
    for (const KeyedRecord &record : newest.records) {
        if (record.value)
            values_[record.key] = *record.value;
    }
    encoded_ = nullptr;
    next_.onNewest(newest);
}

bool SnapshotKeeper::onRecord(const KeyedRecord &record)
{
    const bool isNews = next_.onRecord(record);
    if (!isNews)
        return false;
    if (record.value)
        values_[record.key] = *record.value;
    else
        values_.erase(record.key);
    encoded_ = nullptr;
    return true;
}

std::shared_ptr<const std::string> SnapshotKeeper::encoded()
{
    if (!encoded_) {
        std::vector<KeyedRecord> records;
        for (const auto &[key, value] : values_)
            records.push_back({ key, value });
        encoded_ = std::make_shared<const std::string>(encodeSnapshot(records));
    }
    return encoded_;
}

} // namespace zinniadoor::gateway
