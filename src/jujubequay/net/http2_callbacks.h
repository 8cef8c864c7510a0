#pragma once

#include <nghttp2/nghttp2.h>

namespace Jujubequay {

/// The nghttp2 callbacks shared by all sessions; the user data of a native session is its Http2Session.
const nghttp2_session_callbacks *http2Callbacks();

/// Opaque data of the PING that separates the two GOAWAY frames of a graceful shutdown.
constexpr unsigned char drainPing[8] = {'j', 'j', 'q', 'd', 'r', 'a', 'i', 'n'};

}
