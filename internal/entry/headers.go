package entry

import (
	"net/http"
	"net/textproto"
	"strings"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	"Connection",
	"Proxy-Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// endToEnd returns a copy of the headers without the hop-by-hop headers.
func endToEnd(from http.Header) http.Header {
	out := make(http.Header, len(from))
	for name, values := range from {
		out[name] = values
	}
	for _, line := range from["Connection"] {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHop {
		delete(out, name)
	}
	return out
}
