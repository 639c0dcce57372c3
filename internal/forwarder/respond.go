package forwarder

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/recorder"
	"github.com/guavastall/guavastall/internal/retrier"
)

// failure describes the error response to a caller or another node.
type failure struct {
	err     error
	outcome retrier.Outcome
	marked  bool
}

// reject responds with an error to a call that was not sent anywhere.
func (fw *Forwarder) reject(w http.ResponseWriter, ca *call, err error) {
	fw.fail(w, ca, failure{err: err, outcome: retrier.NotRun})
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error   string `json:"error"`
	Message string `json:"message"`
}

// fail writes an error response. ca may be nil if the call could not be parsed.
func (fw *Forwarder) fail(w http.ResponseWriter, ca *call, fa failure) {
	ki := answerer.KindOf(fa.err)
	de := recorder.Decision{Name: "fail", Result: ki.String(), Detail: fa.err.Error()}
	if ca != nil {
		de.Call, de.Service = ca.id, ca.service
	}
	fw.parts.Log.Record(de)
	body := encodeError(ki, fa.err.Error())
	header := w.Header()
	header[headerError] = []string{ki.String()}
	header[headerOutcome] = []string{fa.outcome.String()}
	if fa.marked {
		header[headerRetried] = []string{"true"}
	}
	header[headerContentType] = []string{"application/json"}
	header["Content-Length"] = []string{strconv.Itoa(len(body))}
	fw.setLoad(header)
	if ki == answerer.BadRequest {
		header[headerConnection] = []string{"close"}
	}
	w.WriteHeader(ki.Answer().Status)
	_, _ = w.Write(body)
}

func encodeError(ki answerer.Kind, message string) []byte {
	body, err := json.Marshal(errorBody{ki.String(), message})
	if err != nil {
		return []byte(`{"error":"internal","message":"the error has no text"}`)
	}
	return body
}

// setLoad sets the load header to the load of the target of this node, if any.
func (fw *Forwarder) setLoad(header http.Header) {
	if fw.config.Target == nil {
		return
	}
	li := fw.parts.Limiter
	header[headerLoad] = []string{formatLoad(li.InFlight(), li.Limit(), li.Cold())}
}

// readMessage returns the message in an error body from another node.
func readMessage(body io.Reader) string {
	data, err := io.ReadAll(io.LimitReader(body, maxMessageBytes))
	var eb errorBody
	if err != nil || json.Unmarshal(data, &eb) != nil || eb.Message == "" {
		return "the peer gave no message"
	}
	return eb.Message
}

// copyBufferSize is the size of a copy buffer. A call holds one while its response
// is forwarded.
const copyBufferSize = 16 << 10

var buffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// relay forwards the response of an answered attempt and calls finish with the
// ending. If the response is truncated, relay aborts the connection to the
// sender of the call, so that the response never looks complete.
func (fw *Forwarder) relay(w http.ResponseWriter, ca *call, rp *reply, finish func(ending)) {
	header := w.Header()
	copyResponseHeader(header, rp.resp.Header, rp.local)
	header[headerOutcome] = ca.value(retrier.Answered.String())
	if rp.local {
		header[headerVersion] = ca.value(string(fw.config.Target.Version))
		fw.setLoad(header)
	}
	w.WriteHeader(rp.resp.StatusCode)
	en := complete
	switch {
	case rp.buffer != nil:
		if _, err := w.Write(rp.data); err != nil {
			en = neutral
		}
	case !rp.atEOF:
		en = rp.copyBody(w)
	}
	if en == broken && ca.request.Context().Err() != nil &&
		fw.config.Now().Before(ca.deadline) {
		en = neutral
	}
	rp.abandon()
	finish(en)
	if en != complete {
		fw.parts.Log.Record(recorder.Decision{
			Name: "abort", Result: "truncated", Call: ca.id, Service: ca.service,
		})
		panic(http.ErrAbortHandler)
	}
}

// copyBody copies the body of the response. If the length is unknown, it flushes
// each chunk immediately.
func (rp *reply) copyBody(w http.ResponseWriter) ending {
	buffer := buffers.Get().(*[copyBufferSize]byte)
	defer buffers.Put(buffer)
	var flusher http.Flusher
	if rp.resp.ContentLength < 0 {
		flusher, _ = w.(http.Flusher)
	}
	for {
		nn, err := rp.Read(buffer[:])
		if nn > 0 {
			if _, werr := w.Write(buffer[:nn]); werr != nil {
				return neutral
			}
			if flusher != nil {
				flusher.Flush()
			}
		}
		if rp.atEOF {
			return complete
		}
		if err != nil {
			return broken
		}
	}
}
