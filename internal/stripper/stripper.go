// Package stripper identifies hop-by-hop HTTP headers, which a proxy must not
// forward.
package stripper

import (
	"net/http"
	"net/textproto"
	"strings"
)

const headerConnection = "Connection"

// hopByHop contains the headers that always apply to a single connection.
var hopByHop = map[string]bool{
	headerConnection:      true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
}

// HopByHop is the set of hop-by-hop headers of a message.
type HopByHop struct {
	named map[string]bool
}

// NewHopByHop returns the hop-by-hop headers of a message, including those that
// its Connection header names.
func NewHopByHop(header http.Header) HopByHop {
	var ho HopByHop
	for _, value := range header[headerConnection] {
		for name := range strings.SplitSeq(value, ",") {
			name = textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name))
			if name == "" || hopByHop[name] || name == "Close" {
				continue
			}
			if ho.named == nil {
				ho.named = map[string]bool{}
			}
			ho.named[name] = true
		}
	}
	return ho
}

// Has reports whether the header, in canonical form, is in the set.
func (ho HopByHop) Has(name string) bool {
	return hopByHop[name] || ho.named[name]
}
