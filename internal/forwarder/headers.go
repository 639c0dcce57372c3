package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/guavastall/guavastall/internal/router"
	"github.com/guavastall/guavastall/internal/stripper"
)

// The headers of the call path, in canonical form.
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
	// headerRetried marks a failure that was already retried.
	headerRetried = "Guavastall-Retried"

	headerPrefix  = "Guavastall-"
	headerKey     = "Idempotency-Key"
	headerXKey    = "X-Idempotency-Key"
	headerClose   = "Connection"
	headerContent = "Content-Type"
)

// noValue is shared by all requests; nothing writes to it.
var noValue = []string{""}

// requestHeader returns the headers of a request for the next hop.
func requestHeader(from http.Header) http.Header {
	// extra is the number of headers that an attempt adds.
	const extra = 6
	hop := stripper.Of(from)
	to := make(http.Header, len(from)+extra)
	for name, values := range from {
		switch {
		case hop.Has(name), name == "Expect", name == headerOnce, name == headerHop:
		case name == headerKey, name == headerXKey:
			// http.Transport resends requests that have these map keys. The
			// lower-case form is the same header to the receiver.
			to[strings.ToLower(name)] = values
		default:
			to[name] = values
		}
	}
	if _, ok := to["User-Agent"]; !ok {
		to["User-Agent"] = noValue // keeps the library from adding its own
	}
	return to
}

// copyResponseHeader copies the headers of a response that go to the caller.
// The headers of the call path are set by the nodes; a target's are dropped
// when fromTarget is set, because they may stem from a call of its own.
func copyResponseHeader(to, from http.Header, fromTarget bool) {
	hop := stripper.Of(from)
	for name, values := range from {
		if hop.Has(name) || name == headerHop {
			continue
		}
		if fromTarget && name != headerRetried && strings.HasPrefix(name, headerPrefix) {
			continue
		}
		to[name] = values
	}
}

// formatLoad writes the Guavastall-Load header.
func formatLoad(inFlight, limit int, cold bool) string {
	var room [32]byte
	text := strconv.AppendInt(room[:0], int64(inFlight), 10)
	text = append(text, '/')
	text = strconv.AppendInt(text, int64(limit), 10)
	if cold {
		text = append(text, ";cold"...)
	}
	return string(text)
}

// parseLoad reads the Guavastall-Load header into the report; it leaves the
// report as it is if the header is missing or malformed.
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
