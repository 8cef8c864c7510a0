#include <jujubequay/consensus/log_record.h>

#include <jujubequay/wire/byte_order.h>

#include <fmt/format.h>
#include <google/protobuf/message_lite.h>

#include <algorithm>
#include <array>

#include <xxhash.h>

namespace Jujubequay::Consensus {

namespace {

constexpr std::size_t checkedHeaderBytes = 4 + 1 + 8; // length, type and checksum of the payload
constexpr std::size_t headerBytes = checkedHeaderBytes + 8;
constexpr std::uint8_t endMark = 0xe5; // not zero, so that the end of a written record differs from an unwritten sector
constexpr std::size_t sectorBytes = 512; // the smallest unit that a disk writes

/// Uses the offset as seed, so that the check fails for a record at another offset.
std::uint64_t headerChecksum(const std::uint8_t *header, std::size_t offset)
{
    return XXH3_64bits_withSeed(header, checkedHeaderBytes, offset);
}

/// True if all bytes from a sector boundary before `end` to the end of the file are zero: the file was extended, but these sectors were never written.
bool endsWithUnwrittenSectors(std::span<const std::uint8_t> content, std::size_t end)
{
    const auto lastWritten = std::find_if(content.rbegin(), content.rend(), [](std::uint8_t byte) {
        return byte != 0;
    });
    const auto written = static_cast<std::size_t>(content.rend() - lastWritten);
    const std::size_t firstUnwritten = (written + sectorBytes - 1) / sectorBytes * sectorBytes;
    return firstUnwritten < end && firstUnwritten < content.size();
}

}

void putRecord(Bytes &out, std::size_t offset, RecordType type, const google::protobuf::MessageLite &message)
{
    const std::string payload = message.SerializeAsString();
    std::array<std::uint8_t, headerBytes> header{};
    std::uint8_t *at = writeBigEndian(header.data(), static_cast<std::uint32_t>(payload.size()));
    at = writeBigEndian(at, static_cast<std::uint8_t>(type));
    at = writeBigEndian(at, static_cast<std::uint64_t>(XXH3_64bits(payload.data(), payload.size())));
    writeBigEndian(at, headerChecksum(header.data(), offset));
    out.insert(out.end(), header.begin(), header.end());
    out.insert(out.end(), payload.begin(), payload.end());
    out.push_back(endMark);
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
        const auto length = readBigEndian<std::uint32_t>(at);
        const auto type = readBigEndian<std::uint8_t>(at);
        const auto payloadChecksum = readBigEndian<std::uint64_t>(at);
        if (readBigEndian<std::uint64_t>(at) != headerChecksum(header, start)) {
            if (endsWithUnwrittenSectors(content, start + headerBytes)) {
                return scan;
            }
            return fail(ResultCode::DiskDamaged, fmt::format("{}: wrong checksum of the record header at byte {}", name, start));
        }
        const std::size_t end = start + headerBytes + length + 1;
        if (content.size() < end) {
            return scan;
        }
        const auto payload = content.subspan(start + headerBytes, length);
        if (XXH3_64bits(payload.data(), payload.size()) != payloadChecksum || content[end - 1] != endMark) {
            if (endsWithUnwrittenSectors(content, end)) {
                return scan;
            }
            return fail(ResultCode::DiskDamaged, fmt::format("{}: wrong checksum or end mark of the record at byte {}", name, start));
        }
        scan.records.push_back({static_cast<RecordType>(type), payload});
        scan.validBytes = end;
    }
    return scan;
}

}
