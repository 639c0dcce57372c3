package linker

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"
)

const connected = "HTTP/1.1 200 Connected\r\n\r\n"

// Server serves net/rpc on connections that HTTP CONNECT requests open.
type Server struct {
	config Config
	rpc    *rpc.Server
	budget *budget

	mu     sync.Mutex
	closed bool
	links  map[net.Conn]struct{}
	ended  sync.WaitGroup
}

// NewServer returns a Server without receivers.
func NewServer(co Config) *Server {
	co = co.withDefaults()
	return &Server{
		config: co, rpc: rpc.NewServer(), budget: &budget{left: co.MaxInboundBytes},
		links: map[net.Conn]struct{}{},
	}
}

// Register publishes the methods of the receiver under the name, as
// [rpc.Server.RegisterName] does. The methods run concurrently, must bound
// their time and their replies, and must check what they are given.
func (sv *Server) Register(name string, receiver any) error {
	return sv.rpc.RegisterName(name, receiver)
}

// Traffic returns the counters of bytes.
func (sv *Server) Traffic() *Traffic { return sv.config.Traffic }

// ServeHTTP takes over the connection of a CONNECT request and serves calls on
// it until it ends.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.Method != http.MethodConnect {
		http.Error(wr, "the method must be CONNECT", http.StatusMethodNotAllowed)
		return
	}
	if !sv.allowed(rq.Header.Get(SecretHeader)) {
		http.Error(wr, "the shared secret is wrong", http.StatusForbidden)
		return
	}
	conn, buffered, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		http.Error(wr, "the connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	if !sv.add(conn) {
		_ = conn.Close()
		return
	}
	defer sv.remove(conn)
	sv.config.Traffic.in.Add(int64(len(connectRequest(rq.Host, sv.config.Secret))))
	counted := countedConn{Conn: conn, traffic: sv.config.Traffic}
	if err := conn.SetDeadline(time.Now().Add(sv.config.IOTimeout)); err != nil {
		return
	}
	if _, err := counted.Write([]byte(connected)); err != nil {
		return
	}
	// The buffered reader of net/http reads from the connection itself, so the
	// link reads from the connection and accepts nothing sent too early.
	if buffered.Reader.Buffered() > 0 {
		return
	}
	sv.rpc.ServeCodec(newServerCodec(newFramer(counted, counted, sv.config, sv.budget), sv.config))
}

// allowed checks the hash of the secret in a time that does not depend on it.
func (sv *Server) allowed(given string) bool {
	if sv.config.Secret == "" {
		return true
	}
	sum := sha256.Sum256([]byte(sv.config.Secret))
	return subtle.ConstantTimeCompare([]byte(given), []byte(hex.EncodeToString(sum[:]))) == 1
}

// add counts a link in, unless there are too many or the server has closed.
func (sv *Server) add(conn net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed || len(sv.links) >= sv.config.MaxInbound {
		return false
	}
	sv.links[conn] = struct{}{}
	sv.ended.Add(1)
	return true
}

func (sv *Server) remove(conn net.Conn) {
	_ = conn.Close()
	sv.mu.Lock()
	delete(sv.links, conn)
	sv.mu.Unlock()
	sv.ended.Done()
}

// Close closes every link, refuses new ones and waits until the calls in
// progress have ended.
func (sv *Server) Close() {
	sv.mu.Lock()
	sv.closed = true
	for conn := range sv.links {
		_ = conn.Close()
	}
	sv.mu.Unlock()
	sv.ended.Wait()
}

// serverCodec reads requests and writes responses for net/rpc.
type serverCodec struct {
	*framer
	// idle is the wait for the next request. It starts short, so that a peer
	// that never sends a valid request cannot hold a link for long.
	idle, fullIdle time.Duration
	calls          chan struct{}
}

func newServerCodec(fr *framer, co Config) *serverCodec {
	return &serverCodec{
		framer: fr, idle: co.IOTimeout, fullIdle: co.ServerIdleTimeout,
		calls: make(chan struct{}, co.MaxCallsPerLink),
	}
}

// ReadRequestHeader waits for the next message and reads its header.
func (sc *serverCodec) ReadRequestHeader(rq *rpc.Request) error {
	sc.calls <- struct{}{} // released by WriteResponse
	err := sc.nextRequest(rq)
	if err != nil {
		_ = sc.conn.Close()
	}
	return err
}

func (sc *serverCodec) nextRequest(rq *rpc.Request) error {
	if err := sc.resetWait(time.Now().Add(sc.idle)); err != nil {
		return err
	}
	if _, err := sc.read(); err != nil {
		return err
	}
	return sc.dec.Decode(rq)
}

// ReadRequestBody reads the arguments. A message that does not decode ends the
// link, because the gob stream cannot be trusted after it.
func (sc *serverCodec) ReadRequestBody(body any) error {
	err := sc.dec.Decode(body)
	if err == nil && sc.in.Len() > 0 {
		err = fmt.Errorf("%w: %d bytes too many", errMessage, sc.in.Len())
	}
	if err != nil {
		_ = sc.conn.Close()
	}
	sc.idle = sc.fullIdle
	return err
}

// WriteResponse sends the response; net/rpc calls it once for each request.
func (sc *serverCodec) WriteResponse(rs *rpc.Response, body any) error {
	defer func() { <-sc.calls }()
	err := sc.write(time.Time{}, rs, body)
	if err != nil {
		_ = sc.conn.Close()
	}
	return err
}

// Close closes the link.
func (sc *serverCodec) Close() error { return sc.conn.Close() }
