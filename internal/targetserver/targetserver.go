// Package targetserver is a stand-in for a target: an HTTP server with slots,
// connections, a cold start and faults that are set while it runs.
//
// Any path but /health, /load, /control and /executions is a call. A call names
// its ID in the header X-Request-Id; the response repeats the ID, names the
// checksum of the request body, and has a body made from the ID with a checksum
// of its own, so that a caller can tell whether a response is whole and its own.
package targetserver

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/guavastall/guavastall/internal/sleeper"
	"github.com/guavastall/guavastall/pkg/checker"
)

// The headers of a call.
const (
	// HeaderID carries the request ID; the response repeats it.
	HeaderID = "X-Request-Id"
	// HeaderRequestSum is the checksum of the request body as the target got it.
	HeaderRequestSum = "X-Request-Sum"
	// HeaderSum is the checksum of the response body.
	HeaderSum = "X-Response-Sum"
)

const (
	// maxExecutions bounds the IDs whose executions are remembered.
	maxExecutions = 200_000
	// maxControlBytes bounds the body of POST /control.
	maxControlBytes = 64 << 10
)

// Server is a target.
type Server struct {
	server *http.Server
	now    func() time.Time

	mu       sync.Mutex
	settings Settings
	// changed is when the settings were last set, started when the warm-up began.
	changed, started time.Time
	inFlight         int
	queued           []chan struct{}
	collapsed        bool
	calls            uint64
	executions       map[string]int
	order            []string
	history          []report
}

// report is what /load and /health said at a time.
type report struct {
	at       time.Time
	inFlight int
	healthy  bool
}

// New returns a target that starts cold. It fails if the settings are wrong.
func New(se Settings, now func() time.Time) (*Server, error) {
	if err := se.check(); err != nil {
		return nil, err
	}
	sv := &Server{settings: se, now: now, executions: map[string]int{}}
	sv.changed, sv.started = now(), now()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", sv.health)
	mux.HandleFunc("GET /load", sv.load)
	mux.HandleFunc("POST /control", sv.control)
	mux.HandleFunc("GET /executions", sv.reportExecutions)
	mux.HandleFunc("/", sv.serve)
	sv.server = &http.Server{
		Handler: mux, ReadHeaderTimeout: 5 * time.Second,
		ErrorLog: log.New(io.Discard, "", 0),
	}
	return sv, nil
}

// Serve accepts connections until Close.
func (sv *Server) Serve(ln net.Listener) error {
	return sv.server.Serve(&boundedListener{Listener: ln, limit: func() int {
		sv.mu.Lock()
		defer sv.mu.Unlock()
		return sv.settings.Connections
	}})
}

// ServeHTTP serves one request, for use without a listener.
func (sv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sv.server.Handler.ServeHTTP(w, r)
}

// Close closes the listener and all connections.
func (sv *Server) Close() error { return sv.server.Close() }

// Set replaces the settings; faults count their time from now on.
func (sv *Server) Set(se Settings) error {
	if err := se.check(); err != nil {
		return err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.settings, sv.changed = se, sv.now()
	return nil
}

// Settings returns the settings.
func (sv *Server) Settings() Settings {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.settings
}

// Chill makes the target cold without a restart.
func (sv *Server) Chill() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.started, sv.collapsed = sv.now(), false
}

// Executions returns how often the call with the ID ran.
func (sv *Server) Executions(id string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.executions[id]
}

// Calls returns the number of calls that ran.
func (sv *Server) Calls() uint64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.calls
}

// InFlight returns the number of calls that run.
func (sv *Server) InFlight() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}

// serve runs a call.
func (sv *Server) serve(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	if text := r.Header.Get("Guavastall-Timeout"); text != "" {
		timeout, err := time.ParseDuration(text)
		if err != nil {
			http.Error(w, "malformed Guavastall-Timeout", http.StatusBadRequest)
			return
		}
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	if !sv.enter(ctx) {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer sv.leave()
	id := r.Header.Get(HeaderID)
	fault, work, size := sv.begin(id, r.URL.Path)
	if fault.Kind == FaultError {
		http.Error(w, "fault", http.StatusInternalServerError)
		return
	}
	sum := xxhash.New()
	if _, err := io.Copy(sum, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if fault.Kind == FaultSlow {
		work += time.Duration(fault.Delay)
	}
	if !sleeper.Sleep(ctx, work) {
		http.Error(w, "deadline passed or caller left", http.StatusGatewayTimeout)
		return
	}
	switch fault.Kind {
	case FaultHang:
		<-ctx.Done()
		panic(http.ErrAbortHandler)
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set(HeaderID, id)
	header.Set(HeaderRequestSum, strconv.FormatUint(sum.Sum64(), 16))
	body := Body(id, size)
	header.Set(HeaderSum, strconv.FormatUint(xxhash.Sum64(body), 16))
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Kind == FaultTruncate {
		_, _ = w.Write(body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body)
}

// Body returns the response body of a call: its ID over and over.
func Body(id string, size int) []byte {
	unit := id + "\n"
	body := make([]byte, size)
	for nn := 0; nn < size; {
		nn += copy(body[nn:], unit)
	}
	return body
}

// enter takes a slot, or waits for one; it reports false for a call that is
// shed or whose time runs out.
func (sv *Server) enter(ctx context.Context) bool {
	sv.mu.Lock()
	if sv.settings.Draining {
		sv.mu.Unlock()
		return false
	}
	if sv.inFlight < sv.settings.Slots {
		sv.inFlight++
		sv.mu.Unlock()
		return true
	}
	if len(sv.queued) >= sv.settings.Queue {
		sv.mu.Unlock()
		return false
	}
	turn := make(chan struct{}, 1)
	sv.queued = append(sv.queued, turn)
	sv.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for nn, other := range sv.queued {
		if other == turn {
			sv.queued = append(sv.queued[:nn:nn], sv.queued[nn+1:]...)
			return false
		}
	}
	sv.leaveLocked() // the turn came at the same moment
	return false
}

func (sv *Server) leave() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.leaveLocked()
}

// leaveLocked frees a slot or hands it to the first call that waits.
func (sv *Server) leaveLocked() {
	if len(sv.queued) > 0 && sv.inFlight <= sv.settings.Slots {
		sv.queued[0] <- struct{}{}
		sv.queued = sv.queued[1:]
		return
	}
	sv.inFlight--
}

// begin counts an execution and returns the fault that the call meets, its work
// time and the size of its response.
func (sv *Server) begin(id, path string) (Fault, time.Duration, int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.now()
	sv.calls++
	if _, ok := sv.executions[id]; !ok {
		sv.order = append(sv.order, id)
		if len(sv.order) > maxExecutions {
			delete(sv.executions, sv.order[0])
			sv.order = sv.order[1:]
		}
	}
	sv.executions[id]++
	se := &sv.settings
	work := time.Duration(se.WorkTime)
	if now.Sub(sv.started) < time.Duration(se.ColdTime) {
		if sv.inFlight > se.ColdSlots {
			sv.started, sv.collapsed = now, true
		}
		if sv.collapsed {
			work *= time.Duration(max(se.ColdFactor, 1))
		}
	} else {
		sv.collapsed = false
	}
	for _, fa := range se.Faults {
		if fa.applies(path, sv.inFlight, sv.calls, now.Sub(sv.changed)) {
			return fa, work, se.ResponseBytes
		}
	}
	return Fault{}, work, se.ResponseBytes
}

// Cold reports whether the target still warms up.
func (sv *Server) Cold() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.now().Sub(sv.started) < time.Duration(sv.settings.ColdTime)
}

// current returns the report that is visible now, given the lag.
func (sv *Server) current() (report, Settings) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.now()
	sv.history = append(sv.history, report{
		at: now, inFlight: sv.inFlight,
		healthy: !sv.settings.Draining && !sv.collapsed,
	})
	visible := sv.history[0]
	for len(sv.history) > 1 &&
		now.Sub(sv.history[1].at) >= time.Duration(sv.settings.ReportLag) {
		sv.history = sv.history[1:]
		visible = sv.history[0]
	}
	switch sv.settings.Report {
	case "idle":
		visible.inFlight = 0
	case "full":
		visible.inFlight = sv.settings.Slots
	case "healthy", "unhealthy":
		visible.healthy = sv.settings.Report == "healthy"
	}
	return visible, sv.settings
}

func (sv *Server) health(w http.ResponseWriter, _ *http.Request) {
	if re, _ := sv.current(); !re.healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "healthy\n")
}

func (sv *Server) load(w http.ResponseWriter, _ *http.Request) {
	re, se := sv.current()
	writeJSON(w, map[string]int{"inFlight": re.inFlight, "slots": se.Slots})
}

func (sv *Server) control(w http.ResponseWriter, r *http.Request) {
	se := sv.Settings()
	// Decoding into the present faults would keep fields of theirs.
	faults := se.Faults
	se.Faults = nil
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	err := dec.Decode(&se)
	if se.Faults == nil {
		se.Faults = faults
	}
	if err == nil {
		err = sv.Set(se)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if r.URL.Query().Get("chill") == "true" {
		sv.Chill()
	}
	writeJSON(w, se)
}

// Executions is the response of GET /executions.
type Executions struct {
	// Calls is the number of calls that ran.
	Calls uint64 `json:"calls"`
	// Repeated holds the IDs that ran more than once, with their counts.
	Repeated map[string]int `json:"repeated"`
	// Count is how often the call named by the parameter "id" ran.
	Count int `json:"count"`
	// Version is the target version.
	Version checker.Version `json:"version"`
}

func (sv *Server) reportExecutions(w http.ResponseWriter, r *http.Request) {
	sv.mu.Lock()
	ex := Executions{
		Calls: sv.calls, Repeated: map[string]int{}, Version: sv.settings.Version,
		Count: sv.executions[r.URL.Query().Get("id")],
	}
	for id, count := range sv.executions {
		if count > 1 && id != "" {
			ex.Repeated[id] = count
		}
	}
	sv.mu.Unlock()
	writeJSON(w, ex)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// boundedListener closes connections above the limit at once.
type boundedListener struct {
	net.Listener
	limit func() int

	mu   sync.Mutex
	open int
}

func (bl *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := bl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		bl.mu.Lock()
		limit := bl.limit()
		if limit == 0 || bl.open < limit {
			bl.open++
			bl.mu.Unlock()
			return &boundedConn{Conn: nc, owner: bl}, nil
		}
		bl.mu.Unlock()
		_ = nc.Close()
	}
}

type boundedConn struct {
	net.Conn
	owner *boundedListener
	once  sync.Once
}

func (bc *boundedConn) Close() error {
	bc.once.Do(func() {
		bc.owner.mu.Lock()
		bc.owner.open--
		bc.owner.mu.Unlock()
	})
	return bc.Conn.Close()
}
