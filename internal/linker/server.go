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

const connectResponse = "HTTP/1.1 200 Connected\r\n\r\n"

// Server serves net/rpc on connections that HTTP CONNECT requests open.
type Server struct {
	config Config
	rpc    *rpc.Server
	budget *budget

	mu      sync.Mutex
	closed  bool
	conns   map[net.Conn]struct{}
	serving sync.WaitGroup
}

// NewServer returns a Server without receivers.
func NewServer(co Config) *Server {
	co = co.withDefaults()
	return &Server{
		config: co, rpc: rpc.NewServer(), budget: &budget{available: co.MaxInboundBytes},
		conns: map[net.Conn]struct{}{},
	}
}

// Register publishes the methods of the receiver under the name, as
// [rpc.Server.RegisterName] does. The methods run concurrently. They must bound
// their time and the size of their replies and validate their arguments.
func (sv *Server) Register(name string, receiver any) error {
	return sv.rpc.RegisterName(name, receiver)
}

// Traffic returns the counters of bytes.
func (sv *Server) Traffic() *Traffic { return sv.config.Traffic }

// ServeHTTP hijacks the connection of a CONNECT request and serves calls on it
// until it is closed.
func (sv *Server) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	if rq.Method != http.MethodConnect {
		http.Error(wr, "the method must be CONNECT", http.StatusMethodNotAllowed)
		return
	}
	if !sv.authorized(rq.Header.Get(SecretHeader)) {
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
	counted := countingConn{Conn: conn, traffic: sv.config.Traffic}
	if err := conn.SetDeadline(time.Now().Add(sv.config.IOTimeout)); err != nil {
		return
	}
	if _, err := counted.Write([]byte(connectResponse)); err != nil {
		return
	}
	// The buffered reader of net/http reads from the uncounted connection. Calls
	// are therefore read from the counted one, and a connection on which bytes
	// arrived before the response is closed.
	if buffered.Reader.Buffered() > 0 {
		return
	}
	sv.rpc.ServeCodec(newServerCodec(newFramer(counted, counted, sv.config, sv.budget), sv.config))
}

// authorized checks the hash of the secret in constant time.
func (sv *Server) authorized(hash string) bool {
	if sv.config.Secret == "" {
		return true
	}
	sum := sha256.Sum256([]byte(sv.config.Secret))
	return subtle.ConstantTimeCompare([]byte(hash), []byte(hex.EncodeToString(sum[:]))) == 1
}

// add registers a connection, unless there are too many or the server is closed.
func (sv *Server) add(conn net.Conn) bool {
	sv.mu.Lock()
	defer sv.mu.Unlock()
	if sv.closed || len(sv.conns) >= sv.config.MaxInbound {
		return false
	}
	sv.conns[conn] = struct{}{}
	sv.serving.Add(1)
	return true
}

func (sv *Server) remove(conn net.Conn) {
	_ = conn.Close()
	sv.mu.Lock()
	delete(sv.conns, conn)
	sv.mu.Unlock()
	sv.serving.Done()
}

// Close closes every connection, refuses new ones and waits until the calls in
// progress have ended.
func (sv *Server) Close() {
	sv.mu.Lock()
	sv.closed = true
	for conn := range sv.conns {
		_ = conn.Close()
	}
	sv.mu.Unlock()
	sv.serving.Wait()
}

// serverCodec reads requests and writes responses for net/rpc.
type serverCodec struct {
	*framer
	// readTimeout bounds the wait for the next request. It is IOTimeout until the
	// first request, so that a peer that never sends a valid one cannot hold a
	// connection for long, and idleTimeout after it.
	readTimeout, idleTimeout time.Duration
	calls                    chan struct{}
}

func newServerCodec(fr *framer, co Config) *serverCodec {
	return &serverCodec{
		framer: fr, readTimeout: co.IOTimeout, idleTimeout: co.ServerIdleTimeout,
		calls: make(chan struct{}, co.MaxCallsPerConn),
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
	if err := sc.setReadDeadline(time.Now().Add(sc.readTimeout)); err != nil {
		return err
	}
	if _, err := sc.read(); err != nil {
		return err
	}
	return sc.dec.Decode(rq)
}

// ReadRequestBody reads the arguments. It closes the connection if they cannot be
// decoded, because the state of the gob stream is then undefined.
func (sc *serverCodec) ReadRequestBody(body any) error {
	err := sc.dec.Decode(body)
	if err == nil && sc.in.Len() > 0 {
		err = fmt.Errorf("%w: %d bytes too many", errMessage, sc.in.Len())
	}
	if err != nil {
		_ = sc.conn.Close()
	}
	sc.readTimeout = sc.idleTimeout
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

// Close closes the connection.
func (sc *serverCodec) Close() error { return sc.conn.Close() }
