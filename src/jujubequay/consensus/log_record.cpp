#include <jujubequay/consensus/log_record.h>

#include <jujubequay/wire/byte_order.h>

#include <fmt/format.h>
#include <google/protobuf/message_lite.h>

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace Jujubequay::Consensus {

namespace {

constexpr std::size_t checkedHeaderBytes = 4 + 1 + 8;
constexpr std::size_t headerBytes = checkedHeaderBytes + 8;
constexpr std::size_t sectorBytes = 512; // the smallest unit that a disk writes

/// The offset is the seed, so that a record found at another place does not pass.
std::uint64_t headerChecksum(const std::uint8_t *header, std::size_t offset)
{
    return XXH3_64bits_withSeed(header, checkedHeaderBytes, offset);
}

bool isZero(std::span<const std::uint8_t> bytes)
{
    return std::all_of(bytes.begin(), bytes.end(), [](std::uint8_t byte) {
        return byte == 0;
    });
}

/// True if the last sectors of the file were allocated but never written.
bool endsUnwritten(std::span<const std::uint8_t> content, std::size_t recordStart)
{
    const std::size_t lastSector = (content.size() - 1) / sectorBytes * sectorBytes;
    return lastSector >= recordStart && isZero(content.subspan(lastSector));
}

}

void putRecord(Bytes &out, std::size_t offset, RecordType type, const google::protobuf::MessageLite &message)
{
    const std::string payload = message.SerializeAsString();
    std::array<std::uint8_t, headerBytes> header{};
    std::uint8_t *at = putInteger(header.data(), static_cast<std::uint32_t>(payload.size()));
    at = putInteger(at, static_cast<std::uint8_t>(type));
    at = putInteger(at, static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
    putInteger(at, headerChecksum(header.data(), offset));
    out.insert(out.end(), header.begin(), header.end());
    out.insert(out.end(), payload.begin(), payload.end());
}

Result<RecordScan> scanRecords(std::span<const std::uint8_t> content, const std::string &name)
{
    RecordScan scan;
    while (scan.validBytes < content.size()) {
        const std::size_t start = scan.validBytes;
        if (content.size() - start < headerBytes) {
            return scan;
        }
        const std::uint8_t *header = content.data() + start;
        const std::uint8_t *at = header;
        const auto length = takeInteger<std::uint32_t>(at);
        const auto type = takeInteger<std::uint8_t>(at);
        const auto payloadChecksum = takeInteger<std::uint64_t>(at);
        if (takeInteger<std::uint64_t>(at) != headerChecksum(header, start)) {
            if (endsUnwritten(content, start) || isZero(content.subspan(start))) {
                return scan;
            }
            return fail(ResultCode::DiskDamaged, fmt::format("{}: bad record header at byte {}", name, start));
        }
        if (content.size() - start - headerBytes < length) {
            return scan;
        }
        const auto payload = content.subspan(start + headerBytes, length);
        if (XXH3_64bits(payload.data(), payload.size()) != payloadChecksum) {
            if (start + headerBytes + length == content.size() && endsUnwritten(content, start)) {
                return scan;
            }
            return fail(ResultCode::DiskDamaged, fmt::format("{}: bad record at byte {}", name, start));
        }
        scan.records.push_back({static_cast<RecordType>(type), payload});
        scan.validBytes = start + headerBytes + length;
    }
    return scan;
}

}
