#pragma once

#include <jujubequay/net/http2_session.h>

#include <nghttp2/nghttp2.h>

#include <vector>

namespace Jujubequay {

/// Header fields as nghttp2 takes them; they point into `headers`.
std::vector<nghttp2_nv> nativeHeaders(const HttpHeaders &headers);

/// Data provider that sends the queue of a stream; nghttp2 passes the stream's number with each call.
nghttp2_data_provider queueProvider();

}
