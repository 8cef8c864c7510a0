#pragma once

#include <jujubequay/net/http2_session.h>

#include <nghttp2/nghttp2.h>

#include <vector>

namespace Jujubequay {

/// Converts header fields for nghttp2. The result points into `headers`.
std::vector<nghttp2_nv> nativeHeaders(const HttpHeaders &headers);

/// Data provider that reads from the send queue of a stream. nghttp2 passes the stream identifier with each call.
nghttp2_data_provider sendQueueProvider();

}
