#pragma once

#include <jujubequay/core/error.h>
#include <jujubequay/wire/framing.h>

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace google::protobuf {
class MessageLite;
}

namespace Jujubequay::Consensus {

enum class RecordType : std::uint8_t { Identity = 1, LogHeader = 2, HardState = 3, Entry = 4, Snapshot = 5 };

/// A checked record in a file's content.
struct LogRecord {
    RecordType type = RecordType::Entry;
    std::span<const std::uint8_t> payload;
};

/// The records of a file, up to a torn tail.
struct RecordScan {
    std::vector<LogRecord> records;
    std::size_t validBytes = 0; ///< the rest of the file was never completely written
};

/// Appends a record to `out`, which will be written at `offset` of a file: a header of 4 bytes length, 1 byte type, 8
/// bytes xxHash of the payload and 8 bytes xxHash of the header and its offset, then the payload and an end mark.
void putRecord(Bytes &out, std::size_t offset, RecordType type, const google::protobuf::MessageLite &message);

/// Checks all records. A torn tail ends the scan: the file ends within a record, or everything from a 512-byte boundary
/// within the record to the end of the file is zero. Any other difference fails with DiskDamaged, also in the last record:
/// it may have been synced and acknowledged.
Result<RecordScan> scanRecords(std::span<const std::uint8_t> content, const std::string &name);

}
