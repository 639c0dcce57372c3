// Package targetserver simulates a target: an HTTP server with limited slots and
// connections, a cold start and faults that can be changed while it runs.
//
// A request to any path but /health, /load, /control and /executions is a call. It
// carries an ID in the header X-Request-Id. The response carries the same ID, the
// checksum of the request body, and a body generated from the ID with its
// checksum, so that the caller can verify that the response is complete and
// belongs to its request.
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
	// HeaderID carries the request ID, in the request and in the response.
	HeaderID = "X-Request-Id"
	// HeaderRequestSum is the checksum of the request body that the target received.
	HeaderRequestSum = "X-Request-Sum"
	// HeaderSum is the checksum of the response body.
	HeaderSum = "X-Response-Sum"
)

const (
	// maxExecutions bounds the number of IDs whose executions are counted.
	maxExecutions = 200_000
	// maxControlBytes bounds the body of POST /control.
	maxControlBytes = 64 << 10
)

// Server is a simulated target. Use [New].
type Server struct {
	server *http.Server
	now    func() time.Time

	mu       sync.Mutex
	settings Settings
	// changed is the time of the last change of the settings, and started the start
	// of the warm-up.
	changed, started time.Time
	inFlight         int
	queued           []chan struct{}
	overloaded       bool
	calls            uint64
	executions       map[string]int
	executionOrder   []string
	history          []report
}

// report is the state that /load and /health report.
type report struct {
	at       time.Time
	inFlight int
	healthy  bool
}

// New returns a cold target. It returns an error if the settings are invalid.
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

// ServeHTTP implements [http.Handler], for use without a listener.
func (sv *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	sv.server.Handler.ServeHTTP(w, r)
}

// Close closes the listener and all connections.
func (sv *Server) Close() error { return sv.server.Close() }

// Set replaces the settings. The time of [Fault].After starts again.
func (sv *Server) Set(se Settings) error {
	if err := se.check(); err != nil {
		return err
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.settings, sv.changed = se, sv.now()
	return nil
}

// Settings returns the current settings.
func (sv *Server) Settings() Settings {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.settings
}

// ResetWarmUp makes the target cold without a restart of the process.
func (sv *Server) ResetWarmUp() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.started, sv.overloaded = sv.now(), false
}

// Executions returns the number of executions of the call with the ID.
func (sv *Server) Executions(id string) int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.executions[id]
}

// Calls returns the number of calls executed.
func (sv *Server) Calls() uint64 {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.calls
}

// InFlight returns the number of calls in flight.
func (sv *Server) InFlight() int {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.inFlight
}

// serve handles a call.
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
	if !sv.acquire(ctx) {
		http.Error(w, "overloaded", http.StatusServiceUnavailable)
		return
	}
	defer sv.release()
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

// Body returns the response body of a call, which repeats its ID up to the size.
func Body(id string, size int) []byte {
	unit := id + "\n"
	body := make([]byte, size)
	for nn := 0; nn < size; {
		nn += copy(body[nn:], unit)
	}
	return body
}

// acquire acquires a slot, waiting in the queue if necessary. It returns false if
// the call is rejected or its context is done first.
func (sv *Server) acquire(ctx context.Context) bool {
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
	granted := make(chan struct{}, 1)
	sv.queued = append(sv.queued, granted)
	sv.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
	}
	sv.mu.Lock()
	defer sv.mu.Unlock()
	for nn, other := range sv.queued {
		if other == granted {
			sv.queued = append(sv.queued[:nn:nn], sv.queued[nn+1:]...)
			return false
		}
	}
	sv.releaseLocked() // the slot was granted after the context was done
	return false
}

func (sv *Server) release() {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	sv.releaseLocked()
}

// releaseLocked releases a slot or passes it to the first queued call.
func (sv *Server) releaseLocked() {
	if len(sv.queued) > 0 && sv.inFlight <= sv.settings.Slots {
		sv.queued[0] <- struct{}{}
		sv.queued = sv.queued[1:]
		return
	}
	sv.inFlight--
}

// begin counts an execution and returns the fault that applies to the call, its
// execution time and the size of its response.
func (sv *Server) begin(id, path string) (Fault, time.Duration, int) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.now()
	sv.calls++
	if _, ok := sv.executions[id]; !ok {
		sv.executionOrder = append(sv.executionOrder, id)
		if len(sv.executionOrder) > maxExecutions {
			delete(sv.executions, sv.executionOrder[0])
			sv.executionOrder = sv.executionOrder[1:]
		}
	}
	sv.executions[id]++
	se := &sv.settings
	work := time.Duration(se.WorkTime)
	if now.Sub(sv.started) < time.Duration(se.ColdTime) {
		if sv.inFlight > se.ColdSlots {
			sv.started, sv.overloaded = now, true
		}
		if sv.overloaded {
			work *= time.Duration(max(se.ColdFactor, 1))
		}
	} else {
		sv.overloaded = false
	}
	for _, fa := range se.Faults {
		if fa.applies(path, sv.inFlight, sv.calls, now.Sub(sv.changed)) {
			return fa, work, se.ResponseBytes
		}
	}
	return Fault{}, work, se.ResponseBytes
}

// Cold reports whether the target is still warming up.
func (sv *Server) Cold() bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	return sv.now().Sub(sv.started) < time.Duration(sv.settings.ColdTime)
}

// visibleReport returns the report that the lag makes visible now, and the settings.
func (sv *Server) visibleReport() (report, Settings) {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	now := sv.now()
	sv.history = append(sv.history, report{
		at: now, inFlight: sv.inFlight,
		healthy: !sv.settings.Draining && !sv.overloaded,
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
	if re, _ := sv.visibleReport(); !re.healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "healthy\n")
}

func (sv *Server) load(w http.ResponseWriter, _ *http.Request) {
	re, se := sv.visibleReport()
	writeJSON(w, map[string]int{"inFlight": re.inFlight, "slots": se.Slots})
}

func (sv *Server) control(w http.ResponseWriter, r *http.Request) {
	se := sv.Settings()
	// Decoding into the existing slice would keep fields of its elements.
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
		sv.ResetWarmUp()
	}
	writeJSON(w, se)
}

// Executions is the response of GET /executions.
type Executions struct {
	// Calls is the number of calls executed.
	Calls uint64 `json:"calls"`
	// Repeated maps the IDs of calls executed more than once to their counts.
	Repeated map[string]int `json:"repeated"`
	// Count is the number of executions of the call named by the parameter "id".
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

// boundedListener closes accepted connections above the limit immediately.
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
