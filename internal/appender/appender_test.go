package appender

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/logserver"
	"github.com/guavastall/guavastall/pkg/checker"
)

const stream = "configuration"

func startLog(t *testing.T, cf logserver.Config) (*logserver.Server, *Client) {
	t.Helper()
	sv := logserver.New(cf)
	hs := httptest.NewServer(sv.Handler())
	cl, err := New(hs.URL, Config{
		Timeout: 200 * time.Millisecond, Backoff: Backoff{Base: time.Millisecond},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		cl.Close()
		sv.Close()
		hs.Close()
	})
	return sv, cl
}

func countRecords(t *testing.T, sv *logserver.Server) int {
	t.Helper()
	ba, err := sv.Read(t.Context(), stream, 0, 1000, 0)
	require.NoError(t, err)
	return len(ba.Records)
}

// Guards against an append that is not retried, or is reported as refused, when
// only its response was lost.
func TestAppendResendsAfterLostAnswer(t *testing.T) {
	for _, silent := range []bool{false, true} {
		sv, cl := startLog(t, logserver.Config{})
		sv.SetFaults(logserver.Faults{DropResponses: 2, Silent: silent})
		offset, err := cl.Append(t.Context(), stream, []byte("a"))
		require.NoError(t, err)
		require.Equal(t, uint64(2), offset)
		require.Equal(t, 3, countRecords(t, sv))

		sv.SetFaults(logserver.Faults{DropEvery: 1, Silent: silent})
		_, err = cl.Append(t.Context(), stream, []byte("b"))
		require.ErrorIs(t, err, ErrUnknown)
		require.Equal(t, 3+defaultAttempts, countRecords(t, sv))
	}
}

// Guards against an append that did not take effect but is reported as unknown,
// and against unbounded retries.
func TestAppendRefused(t *testing.T) {
	sv, cl := startLog(t, logserver.Config{})
	sv.SetFaults(logserver.Faults{Outage: logserver.Refuse})
	_, err := cl.Append(t.Context(), stream, []byte("a"))
	require.ErrorIs(t, err, ErrRefused)
	require.NotErrorIs(t, err, ErrUnknown)
	require.Equal(t, defaultAttempts, sv.Stats().Appends)
	require.Zero(t, countRecords(t, sv))

	_, err = cl.Append(t.Context(), stream, make([]byte, MaxRecordBytes+1))
	require.ErrorIs(t, err, ErrTooLarge)
	require.Equal(t, defaultAttempts, sv.Stats().Appends)

	unreachable, err := New("http://127.0.0.1:1", Config{Attempts: 1})
	require.NoError(t, err)
	_, err = unreachable.Append(t.Context(), stream, []byte("a"))
	require.ErrorIs(t, err, ErrRefused)
}

// Guards against an append that continues after its context or deadline when the
// log hangs, and against a refusal that hides an earlier lost response.
func TestAppendDuringHang(t *testing.T) {
	sv, cl := startLog(t, logserver.Config{})
	sv.SetFaults(logserver.Faults{Freeze: true})
	_, err := cl.AppendOnce(t.Context(), stream, []byte("a"))
	require.ErrorIs(t, err, ErrUnknown)
	sv.SetFaults(logserver.Faults{})
	require.Eventually(t, func() bool { return countRecords(t, sv) == 1 },
		5*time.Second, time.Millisecond)

	sv.SetFaults(logserver.Faults{Outage: logserver.Hang})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = cl.Append(ctx, stream, []byte("b"))
	require.ErrorIs(t, err, ErrUnknown)
	_, err = cl.Append(ctx, stream, []byte("c"))
	require.ErrorIs(t, err, ErrRefused)
}

// Guards against a reader that continues past trimmed records.
func TestReadReportsTrimmedLog(t *testing.T) {
	sv, cl := startLog(t, logserver.Config{})
	for range 5 {
		_, err := cl.Append(t.Context(), stream, []byte("a"))
		require.NoError(t, err)
	}
	ba, err := cl.Read(t.Context(), stream, 2, 2, time.Second)
	require.NoError(t, err)
	require.Len(t, ba.Records, 2)
	require.NoError(t, sv.Trim(stream, 3))
	_, err = cl.Read(t.Context(), stream, 2, 2, 0)
	var trimmed *TrimmedError
	require.ErrorAs(t, err, &trimmed)
	require.Equal(t, TrimmedError{From: 2, First: 3, Next: 5}, *trimmed)
	_, err = cl.Read(t.Context(), stream, 9, 0, 0)
	var behind *BehindError
	require.ErrorAs(t, err, &behind)

	sv.SetFaults(logserver.Faults{Delay: checker.Duration(time.Minute)})
	_, err = cl.Read(t.Context(), stream, 5, 0, 0)
	require.ErrorIs(t, err, ErrUnavailable)
}

// Guards against an oversized or malformed response being accepted as records.
func TestBadResponses(t *testing.T) {
	for _, tt := range []struct {
		name string
		body string
		want error
	}{
		{"not JSON", "<html>", ErrInvalid},
		{"truncated", `{"records":[{"offset":0`, ErrInvalid},
		{"first above next", `{"records":[],"first":2,"next":1}`, ErrInvalid},
		{"beyond next", `{"records":[{"offset":0},{"offset":1}],"first":0,"next":1}`, ErrInvalid},
		{"too long", "[" + string(make([]byte, maxResponseBytes)), ErrInvalid},
	} {
		t.Run(tt.name, func(t *testing.T) {
			hs := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				_, _ = rw.Write([]byte(tt.body))
			}))
			defer hs.Close()
			cl, err := New(hs.URL, Config{})
			require.NoError(t, err)
			defer cl.Close()
			_, err = cl.Read(t.Context(), stream, 0, 0, 0)
			require.ErrorIs(t, err, tt.want)
			_, err = cl.AppendOnce(t.Context(), stream, nil)
			require.ErrorIs(t, err, ErrUnknown)
		})
	}
	_, err := New("log:1", Config{})
	require.Error(t, err)
}

// Guards against waits that grow without bound.
func TestBackoffLimit(t *testing.T) {
	bo := Backoff{Base: time.Second, Max: 5 * time.Second}
	require.Equal(t, time.Second, bo.Limit(0))
	require.Equal(t, 4*time.Second, bo.Limit(2))
	require.Equal(t, 5*time.Second, bo.Limit(1<<30))
	require.Equal(t, 2*time.Second, Backoff{}.Limit(100))
}

// Guards against a panic on, or an undetected gap in, a malicious response.
func FuzzDecodeBatch(f *testing.F) {
	data, err := json.Marshal(Batch{Records: []Record{{Offset: 3, Data: []byte("a")}}, First: 1, Next: 4})
	require.NoError(f, err)
	f.Add(data, uint64(3), false)
	f.Add([]byte(`{"records":[{"offset":4}],"first":1,"next":9}`), uint64(3), true)
	f.Fuzz(func(t *testing.T, data []byte, from uint64, trimmed bool) {
		ba, err := decodeBatch(data, from, trimmed)
		if err != nil {
			return
		}
		for ii, rec := range ba.Records {
			require.Equal(t, from+uint64(ii), rec.Offset)
		}
	})
}
