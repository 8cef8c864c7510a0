#pragma once

#include <jujubequay/datapath/datagram_batch.h>

#include <asio/ip/udp.hpp>

#include <utility>

namespace Jujubequay {

/// Batches that are read from one socket before the other handlers of the thread run.
constexpr int maxBatchesPerTurn = 8;

/// Reads datagrams as they arrive, until the socket is closed. Calls `handleBatch(count)` for each batch in `reader`, and `endTurn()` after
/// the last batch before the thread runs other handlers. `socket` and `reader` must outlive the operation.
template<class HandleBatch, class EndTurn>
void readBatches(asio::ip::udp::socket &socket, DatagramReader &reader, HandleBatch handleBatch, EndTurn endTurn)
{
    socket.async_wait(asio::ip::udp::socket::wait_read,
                      [&socket, &reader, handleBatch = std::move(handleBatch), endTurn = std::move(endTurn)](const asio::error_code &error) mutable {
                          if (error) {
                              return;
                          }
                          for (int batch = 0; batch < maxBatchesPerTurn; ++batch) {
                              const std::size_t count = reader.read(socket.native_handle());
                              handleBatch(count);
                              if (count < datagramBatchSize) {
                                  break;
                              }
                          }
                          endTurn();
                          readBatches(socket, reader, std::move(handleBatch), std::move(endTurn));
                      });
}

/// Overload without a function to call after the last batch.
template<class HandleBatch>
void readBatches(asio::ip::udp::socket &socket, DatagramReader &reader, HandleBatch handleBatch)
{
    readBatches(socket, reader, std::move(handleBatch), [] {});
}

}
