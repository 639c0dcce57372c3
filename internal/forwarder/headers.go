package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/stripper"
)

// The header names that the forwarder uses, in canonical form.
const (
	headerService = "Guavastall-Service"
	headerTimeout = "Guavastall-Timeout"
	// headerHop carries the call ID between nodes; the response echoes it.
	headerHop    = "Guavastall-Hop"
	headerDepth  = "Guavastall-Depth"
	headerResend = "Guavastall-Resend"
	// headerOnce carries the route's once setting to the owner of a key.
	headerOnce    = "Guavastall-Once"
	headerOutcome = "Guavastall-Outcome"
	headerError   = "Guavastall-Error"
	headerLoad    = "Guavastall-Load"
	headerVersion = "Guavastall-Version"
	// headerTargetTime carries from the last to the first node how long the target
	// took to respond, as a Go duration.
	headerTargetTime = "Guavastall-Target-Time"
	// headerRetried marks a failure whose retries a node has already decided on;
	// no other node retries it.
	headerRetried = "Guavastall-Retried"

	headerPrefix      = "Guavastall-"
	headerKey         = "Idempotency-Key"
	headerXKey        = "X-Idempotency-Key"
	headerConnection  = "Connection"
	headerContentType = "Content-Type"
)

// emptyValue is shared by all requests and must not be modified.
var emptyValue = []string{""}

// requestHeader returns the headers to send to the next hop.
func requestHeader(from http.Header) http.Header {
	// extra is the number of headers added to each attempt.
	const extra = 6
	hop := stripper.NewHopByHop(from)
	to := make(http.Header, len(from)+extra)
	for name, values := range from {
		switch {
		case hop.Has(name), name == "Expect", name == headerOnce, name == headerHop:
		case name == headerKey, name == headerXKey:
			// http.Transport resends requests that have these map keys. In
			// lower case, they are the same headers to the receiver.
			to[strings.ToLower(name)] = values
		default:
			to[name] = values
		}
	}
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = emptyValue // prevents net/http from adding its default
	}
	return to
}

// copyResponseHeader copies the response headers that are forwarded to the
// caller. If fromTarget is set, it drops the Guavastall headers, which only
// nodes may set: a target may have copied them from the response to a call of
// its own.
func copyResponseHeader(to, from http.Header, fromTarget bool) {
	hop := stripper.NewHopByHop(from)
	for name, values := range from {
		if hop.Has(name) || name == headerHop || name == headerTargetTime {
			continue
		}
		if fromTarget && name != headerRetried && strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
}

// formatLoad returns the value of the Guavastall-Load header.
func formatLoad(inFlight, limit int, cold bool) string {
	var buffer [32]byte
	text := strconv.AppendInt(buffer[:0], int64(inFlight), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(limit), 10)
	if cold {
		text = append(text, ";cold"...)
	}
	return string(text)
}

// parseLoad parses the Guavastall-Load header into the report. It does not change
// the report if the header is missing or malformed.
func parseLoad(text string, re *router.Report) {
	text, cold := strings.CutSuffix(text, ";cold")
	first, second, ok := strings.Cut(text, "/")
	if !ok {
		return
	}
	inFlight, err := strconv.Atoi(first)
	if err != nil || inFlight < 0 {
		return
	}
	limit, err := strconv.Atoi(second)
	if err != nil || limit < 0 {
		return
	}
	re.InFlight, re.Limit, re.Cold = inFlight, limit, cold
}
