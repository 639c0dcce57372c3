// Package stripper removes the headers that concern one connection only.
package stripper

import (
	"net/http"
	"net/textproto"
	"strings"
)

const headerConnection = "Connection"

// hopByHop lists the headers that concern one connection only.
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

// HopByHop is the set of the headers of a message that are not forwarded.
type HopByHop struct {
	named map[string]bool
}

// Of returns the set for a message; its Connection header may name more.
func Of(header http.Header) HopByHop {
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
