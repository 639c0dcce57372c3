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
		answer(rw, http.StatusOK, sv.Faults())
	})
	mux.HandleFunc("GET /stats", func(rw http.ResponseWriter, _ *http.Request) {
		answer(rw, http.StatusOK, sv.Stats())
	})
	mux.HandleFunc("DELETE /stats", func(rw http.ResponseWriter, _ *http.Request) {
		sv.ResetStats()
		answer(rw, http.StatusOK, sv.Stats())
	})
	return mux
}

func (sv *Server) serveAppend(rw http.ResponseWriter, rq *http.Request) {
	sv.count(true)
	// The body is read before any fault, so that an append that waits takes
	// effect whole even if the client leaves.
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, int64(sv.config.MaxBody)))
	if err != nil {
		status := http.StatusBadRequest
		if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		answerError(rw, status, err)
		return
	}
	if !sv.admitted(rw, rq, true, false) {
		return
	}
	offset, err := sv.Append(rq.PathValue("name"), data)
	if err != nil {
		answerError(rw, statusOf(err), err)
		return
	}
	if lost, silent := sv.faults.loses(); lost {
		sv.lose(rq, silent)
	}
	answer(rw, http.StatusOK, map[string]uint64{"offset": offset})
}

// lose ends an append that took effect without an answer.
func (sv *Server) lose(rq *http.Request, silent bool) {
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
	sv.count(false)
	from, limit, wait, err := readArguments(rq)
	if err != nil {
		answerError(rw, http.StatusBadRequest, err)
		return
	}
	if !sv.admitted(rw, rq, false, false) {
		return
	}
	ba, err := sv.Read(rq.Context(), rq.PathValue("name"), from, limit, wait)
	// A poll that waited answers under the faults in force when it ends.
	if !sv.admitted(rw, rq, false, true) {
		return
	}
	switch {
	case errors.Is(err, ErrTrimmed):
		answer(rw, http.StatusGone, ba)
	case err != nil:
		answerError(rw, statusOf(err), err)
	default:
		answer(rw, http.StatusOK, ba)
	}
}

// admitted applies the faults; it answers the request if it ends there.
func (sv *Server) admitted(
	rw http.ResponseWriter, rq *http.Request, appends, delayed bool,
) bool {
	err := sv.faults.admit(rq.Context(), appends, delayed)
	switch {
	case errors.Is(err, errRefused):
		answerError(rw, http.StatusServiceUnavailable, err)
	case err != nil:
		panic(http.ErrAbortHandler)
	}
	return err == nil
}

func (sv *Server) serveSetFaults(rw http.ResponseWriter, rq *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, rq.Body, maxFaultsBody))
	if err != nil {
		answerError(rw, http.StatusBadRequest, err)
		return
	}
	fa, err := DecodeFaults(data)
	if err != nil {
		answerError(rw, http.StatusBadRequest, err)
		return
	}
	sv.SetFaults(fa)
	answer(rw, http.StatusOK, fa)
}

// readArguments returns the arguments of a read.
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

func answer(rw http.ResponseWriter, status int, value any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	// The client may have left; there is nobody to report that to.
	_ = json.NewEncoder(rw).Encode(value)
}

func answerError(rw http.ResponseWriter, status int, err error) {
	answer(rw, status, map[string]string{"error": err.Error()})
}
