package carrier

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/matcher"
	"github.com/guavastall/guavastall/internal/stripper"
)

const (
	// headerHop marks a request between nodes. It holds the target, the
	// milliseconds left of the objective, and flags.
	headerHop = "Gs-Hop"
	// headerLoad holds the target's load in a response between nodes.
	headerLoad = "Gs-Load"
	// headerWarning holds the loads of degraded targets and the newest paces, in
	// requests and responses between nodes of the same data centre, and the pace of
	// the target that responds.
	headerWarning = "Gs-Warning"
	// headerRefused marks a refusal between nodes. It holds the kind, the
	// milliseconds until the target is expected to accept requests, and a flag if
	// the target was reached or only its link is full.
	headerRefused = "Gs-Refused"
	flagReached   = "t"
	flagLinkFull  = "l"
	// headerUnknown holds the kind of an attempt whose outcome is unknown.
	headerUnknown = "Gs-Unknown"

	flagInner          = 'i'
	flagReturning      = 'r'
	flagRepeat         = 'p'
	flagSameDataCentre = 'n'
	flagAcceptLate     = 'l'
	flagHedge          = 'h'

	// returningFraction is the fraction of the usual timeout below which a
	// request counts as a retry by a client that was refused before.
	returningFraction = 0.93
	// defaultBodyBytes bounds a request body while no configuration sets a limit.
	defaultBodyBytes = 64 << 20
)

// request is a request as seen by one node.
type request struct {
	id      string
	method  string
	uri     string
	host    string
	header  http.Header
	body    []byte
	arrived time.Time
	// deadline is the end of the client's timeout or of the route's, whichever is
	// earlier.
	deadline time.Time
	// objective is the time until which the response has its full value.
	objective time.Time
	route     *matcher.Route
	caller    string
	// inner is true for a nested request, which the local target of the first
	// node made while it handled another request.
	inner bool
	// returning is true if the client was refused before. For a nested request it
	// describes the client of the outer request.
	returning bool
	// repeat is true if another target received the request earlier. For a nested
	// request it describes the outer request.
	repeat bool
	// acceptLate is true if a response over a full link may come after its
	// objective, because no other link has room for it.
	acceptLate bool
	// hedge is true if the first attempt of the request is still running. A hedge
	// runs at once or not at all.
	hedge bool
	// target is the incarnation that a request from another node is intended for.
	target string
	// targetPace is the expected pace of the target that the request is sent to; zero
	// if it is unknown.
	targetPace float64
	// lease holds the memory of the request's body and of all responses to it.
	lease *lease
	// sameDataCentre is true if both nodes of the request are in the same data
	// centre.
	sameDataCentre bool
}

// parse reads the parts of a request that its first and its last node both need.
func (ca *Carrier) parse(r *http.Request, limit int64, now time.Time) (*request, error) {
	na := &ca.config.Names
	rq := &request{
		id: r.Header.Get(na.RequestID), method: r.Method, uri: r.RequestURI, host: r.Host,
		arrived: now, lease: &lease{memory: ca.bodies},
	}
	if rq.id == "" || len(r.Header[na.RequestID]) != 1 {
		return nil, answerer.New(answerer.BadRequest, "the request needs one ID")
	}
	if !strings.HasPrefix(rq.uri, "/") || strings.ContainsAny(rq.uri, " \r\n") {
		return nil, answerer.New(answerer.BadRequest, "the request target is not a path")
	}
	if text := r.Header.Get(na.Timeout); text != "" {
		left, err := strconv.ParseFloat(text, 64)
		// NaN compares as false, and its conversion depends on the processor.
		if err != nil || !(left >= 0 && left <= maxTimeout.Seconds()*1000) {
			return nil, answerer.New(answerer.BadRequest, "the remaining time is not a number")
		}
		rq.deadline = now.Add(time.Duration(left * float64(time.Millisecond)))
	}
	rq.header = make(http.Header, len(r.Header))
	hop := stripper.NewHopByHop(r.Header)
	for name, values := range r.Header {
		switch {
		case hop.Has(name), name == na.Timeout, name == na.Expected, name == na.Caller,
			name == headerHop, name == headerWarning, name == "Expect", name == "Content-Length":
		default:
			rq.header[name] = values
		}
	}
	return rq, rq.readBody(r, limit)
}

// release returns the memory of the request's bodies. A nil request is allowed.
func (rq *request) release() {
	if rq != nil {
		rq.lease.release()
	}
}

var errRequestTooLong = errors.New("the body is over the limit")

// maxTimeout bounds the timeout that a client may set.
const maxTimeout = 24 * time.Hour

// bodyTimeout bounds the time in which a client has to send the body of a request.
const bodyTimeout = 30 * time.Second

// limitBodyTime bounds the time to read the request's body until the returned
// function is called.
func limitBodyTime(w http.ResponseWriter, r *http.Request, now time.Time) (stop func()) {
	if r.ContentLength == 0 {
		return func() {}
	}
	rc := http.NewResponseController(w)
	_ = rc.SetReadDeadline(now.Add(bodyTimeout))
	return func() { _ = rc.SetReadDeadline(time.Time{}) }
}

func (rq *request) readBody(r *http.Request, limit int64) error {
	if r.ContentLength > limit {
		return answerer.New(answerer.TooLarge, "the body is over the limit")
	}
	if r.ContentLength == 0 {
		return nil
	}
	var err error
	if r.ContentLength > 0 {
		rq.body, err = rq.lease.readExact(r.Body, r.ContentLength)
	} else {
		rq.body, err = rq.lease.readBounded(r.Body, limit, errRequestTooLong)
	}
	switch {
	case errors.Is(err, errRequestTooLong):
		return answerer.Wrap(err, answerer.TooLarge, "read request body")
	case errors.Is(err, errBodyMemory):
		return answerer.Wrap(err, answerer.Overloaded, "read request body")
	case err != nil:
		return answerer.Wrap(err, answerer.BadRequest, "read request body")
	}
	return nil
}

// routeName returns the name of the request's route, or "".
func (rq *request) routeName() string {
	if rq.route == nil {
		return ""
	}
	return rq.route.Name
}

// hostName returns the host without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// hopFlag is a property of a request in the hop header.
type hopFlag struct {
	flag byte
	set  *bool
}

func (rq *request) hopFlags() [6]hopFlag {
	return [...]hopFlag{
		{flagInner, &rq.inner}, {flagReturning, &rq.returning}, {flagRepeat, &rq.repeat},
		{flagSameDataCentre, &rq.sameDataCentre}, {flagAcceptLate, &rq.acceptLate},
		{flagHedge, &rq.hedge},
	}
}

// encodeHop encodes the hop header of a request to another node.
func (rq *request) encodeHop(target string, now time.Time) string {
	text := make([]byte, 0, 48)
	text = append(text, target...)
	text = append(text, ' ')
	text = strconv.AppendInt(text, rq.objective.Sub(now).Milliseconds(), 10)
	separator := true
	for _, hf := range rq.hopFlags() {
		if !*hf.set {
			continue
		}
		if separator {
			text, separator = append(text, ' '), false
		}
		text = append(text, hf.flag)
	}
	return string(text)
}

// decodeHop parses the hop header.
func (rq *request) decodeHop(text string, now time.Time) error {
	parts := strings.Split(text, " ")
	if len(parts) < 2 || len(parts) > 3 {
		return answerer.New(answerer.BadRequest, "malformed hop header")
	}
	left, err := strconv.ParseInt(parts[1], 10, 32)
	if err != nil {
		return answerer.Wrap(err, answerer.BadRequest, "malformed hop header")
	}
	rq.target = parts[0]
	rq.objective = now.Add(time.Duration(left) * time.Millisecond)
	if len(parts) == 3 {
		for _, hf := range rq.hopFlags() {
			*hf.set = strings.IndexByte(parts[2], hf.flag) >= 0
		}
	}
	return nil
}

// milliseconds formats the remaining time, rounded down to milliseconds.
func milliseconds(left time.Duration) string {
	return strconv.FormatInt(max(left.Milliseconds(), 0), 10)
}
