#pragma once

#include <nghttp2/nghttp2.h>

namespace Jujubequay {

/// The nghttp2 callbacks that all sessions share. The user data of an nghttp2 session is its Http2Session.
const nghttp2_session_callbacks *http2Callbacks();

/// Opaque data of the PING that a server sends after the first of the two GOAWAY frames of a graceful shutdown. Its acknowledgement triggers the second.
constexpr unsigned char drainPing[8] = {'j', 'j', 'q', 'd', 'r', 'a', 'i', 'n'};

}
