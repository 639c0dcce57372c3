package logserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// maxFaultsBody bounds the body of POST /faults.
const maxFaultsBody = 4 << 10

// Handler returns the HTTP handler of the log protocol.
func (sv *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}/records", sv.serveAppend)
	mux.HandleFunc("GET /streams/{name}/records", sv.serveRead)
	mux.HandleFunc("POST /faults", sv.serveSetFaults)
	mux.HandleFunc("GET /faults", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, sv.Faults())
	})
	mux.HandleFunc("GET /stats", func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, sv.Stats())
	})
	mux.HandleFunc("DELETE /stats", func(rw http.ResponseWriter, _ *http.Request) {
		sv.ResetStats()
		writeJSON(rw, http.StatusOK, sv.Stats())
	})
	return mux
}

func (sv *Server) serveAppend(rw http.ResponseWriter, rq *http.Request) {
	sv.countRequest(true)
	// The body is read before any fault is applied, so that a delayed append takes
	// effect completely even if the client disconnects.
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, int64(sv.config.MaxBody)))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		writeError(rw, status, err)
		return
	}
	if !sv.admitted(rw, rq, true, false) {
		return
	}
	offset, err := sv.Append(rq.PathValue("name"), data)
	if err != nil {
		writeError(rw, statusOf(err), err)
		return
	}
	if dropped, silent := sv.faults.dropResponse(); dropped {
		sv.abortAppend(rq, silent)
	}
	writeJSON(rw, http.StatusOK, map[string]uint64{"offset": offset})
}

// abortAppend ends a request without a response after its append took effect.
func (sv *Server) abortAppend(rq *http.Request, silent bool) {
	sv.mu.Lock()
	sv.stats.Lost++
	sv.mu.Unlock()
	if silent {
		select {
		case <-rq.Context().Done():
		case <-sv.faults.closed:
		}
	}
	panic(http.ErrAbortHandler)
}

func (sv *Server) serveRead(rw http.ResponseWriter, rq *http.Request) {
	sv.countRequest(false)
	from, limit, wait, err := readArguments(rq)
	if err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	if !sv.admitted(rw, rq, false, false) {
		return
	}
	ba, err := sv.Read(rq.Context(), rq.PathValue("name"), from, limit, wait)
	// A long poll is subject to the faults that are active when it ends.
	if !sv.admitted(rw, rq, false, true) {
		return
	}
	switch {
	case errors.Is(err, ErrTrimmed):
		writeJSON(rw, http.StatusGone, ba)
	case err != nil:
		writeError(rw, statusOf(err), err)
	default:
		writeJSON(rw, http.StatusOK, ba)
	}
}

// admitted applies the faults. If they end the request, it sends the response or
// aborts the connection.
func (sv *Server) admitted(
	rw http.ResponseWriter, rq *http.Request, appends, delayed bool,
) bool {
	err := sv.faults.admit(rq.Context(), appends, delayed)
	switch {
	case errors.Is(err, errRefused):
		writeError(rw, http.StatusServiceUnavailable, err)
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

func (sv *Server) serveSetFaults(rw http.ResponseWriter, rq *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxFaultsBody))
	if err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	fa, err := DecodeFaults(data)
	if err != nil {
		writeError(rw, http.StatusBadRequest, err)
		return
	}
	sv.SetFaults(fa)
	writeJSON(rw, http.StatusOK, fa)
}

// readArguments parses the query parameters of a read.
func readArguments(rq *http.Request) (from uint64, limit int, wait time.Duration, err error) {
	query := rq.URL.Query()
	if text := query.Get("from"); text != "" {
		if from, err = strconv.ParseUint(text, 10, 64); err != nil {
			return 0, 0, 0, fmt.Errorf("from=%q is not an offset", text)
		}
	}
	if text := query.Get("max"); text != "" {
		if limit, err = strconv.Atoi(text); err != nil || limit <= 0 {
			return 0, 0, 0, fmt.Errorf("max=%q is not a positive number", text)
		}
	}
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil || wait < 0 {
			return 0, 0, 0, fmt.Errorf("wait=%q is not a duration such as 2s", text)
		}
	}
	return from, limit, wait, nil
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, ErrRate):
		return http.StatusTooManyRequests
	case errors.Is(err, ErrBadStream):
		return http.StatusBadRequest
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	default:
		return http.StatusServiceUnavailable
	}
}

func writeJSON(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(rw).Encode(value)
}

func writeError(rw http.ResponseWriter, status int, err error) {
	writeJSON(rw, status, map[string]string{"error": err.Error()})
}
