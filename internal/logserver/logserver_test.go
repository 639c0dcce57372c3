package logserver

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func mustAppend(t *testing.T, sv *Server, texts ...string) {
	t.Helper()
	for _, text := range texts {
		_, err := sv.Append("configuration", []byte(text))
		require.NoError(t, err)
	}
}

// Guards against records that are never trimmed and offsets that restart, which
// would hide how clients fail on a trimmed log.
func TestRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	sv := New(Config{MaxRecords: 2, MaxAge: time.Minute, Now: func() time.Time { return now }})
	mustAppend(t, sv, "a", "b", "c")
	ba, err := sv.Read(t.Context(), "configuration", 0, 0, 0)
	require.ErrorIs(t, err, ErrTrimmed)
	require.Equal(t, Batch{Records: []Record{}, First: 1, Next: 3}, ba)

	now = now.Add(2 * time.Minute)
	ba, err = sv.Read(t.Context(), "configuration", 3, 0, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(3), ba.First)
	mustAppend(t, sv, "d")
	ba, err = sv.Read(t.Context(), "configuration", 3, 0, 0)
	require.NoError(t, err)
	require.Equal(t, "d", string(ba.Records[0].Data))
	require.NoError(t, sv.Trim("configuration", 9))
	ba, err = sv.Read(t.Context(), "configuration", 4, 0, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(4), ba.First)
}

// Guards against an append rate above the configured limit.
func TestAppendRate(t *testing.T) {
	now := time.Unix(1000, 0)
	sv := New(Config{AppendRate: 3, Now: func() time.Time { return now }})
	mustAppend(t, sv, "a", "b", "c")
	_, err := sv.Append("claims", nil)
	require.ErrorIs(t, err, ErrRate)
	now = now.Add(time.Second)
	mustAppend(t, sv, "d")
	require.Equal(t, 1, sv.Stats().Limited)
}

// Guards against a long poll that misses an append or never ends.
func TestLongPoll(t *testing.T) {
	sv := New(Config{})
	got := make(chan Batch, 1)
	go func() {
		ba, _ := sv.Read(context.Background(), "configuration", 0, 0, time.Minute)
		got <- ba
	}()
	mustAppend(t, sv, "a")
	require.Equal(t, "a", string((<-got).Records[0].Data))
	ba, err := sv.Read(t.Context(), "configuration", 1, 0, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, ba.Records)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = sv.Read(ctx, "configuration", 1, 0, time.Minute)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against responses that differ from the protocol in docs/design.md.
func TestProtocol(t *testing.T) {
	sv := New(Config{MaxBody: 10, AppendRate: 2})
	hs := httptest.NewServer(sv.Handler())
	defer hs.Close()
	defer sv.Close()
	for _, tt := range []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"append", "POST", "/streams/a/records", "hello", 200, `{"offset":0}`},
		{"append again", "POST", "/streams/a/records", "x", 200, `{"offset":1}`},
		{"over the rate", "POST", "/streams/a/records", "x", 429, "rate limit"},
		{"too large", "POST", "/streams/a/records", "hello hello", 413, "too large"},
		{"bad stream", "POST", "/streams/-a/records", "x", 400, "stream name"},
		{"read", "GET", "/streams/a/records?from=0&max=1&wait=2s", "", 200, `"data":"aGVsbG8="}],"first":0,"next":2}`},
		{"read at the end", "GET", "/streams/a/records?from=2", "", 200, `{"records":[],"first":0,"next":2}`},
		{"bad from", "GET", "/streams/a/records?from=-1", "", 400, "not an offset"},
		{"bad wait", "GET", "/streams/a/records?wait=2", "", 400, "not a duration"},
		{"bad max", "GET", "/streams/a/records?max=0", "", 400, "positive"},
		{"bad faults", "POST", "/faults", `{"outrage":"hang"}`, 400, "outrage"},
		{"faults", "POST", "/faults", `{"outage":"refuse"}`, 200, "refuse"},
		{"refused", "GET", "/streams/a/records?from=2", "", 503, "out of service"},
		{"faults removed", "POST", "/faults", `{}`, 200, "{}"},
		{"stats", "GET", "/stats", "", 200, `"appends":5`},
	} {
		t.Run(tt.name, func(t *testing.T) {
			rq, err := http.NewRequest(tt.method, hs.URL+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			rs, err := http.DefaultClient.Do(rq)
			require.NoError(t, err)
			body, err := io.ReadAll(rs.Body)
			require.NoError(t, err)
			require.NoError(t, rs.Body.Close())
			require.Equal(t, tt.status, rs.StatusCode, string(body))
			require.Contains(t, string(body), tt.want)
		})
	}
	require.NoError(t, sv.Trim("a", 1))
	rs, err := http.Get(hs.URL + "/streams/a/records?from=0")
	require.NoError(t, err)
	require.Equal(t, http.StatusGone, rs.StatusCode)
	require.NoError(t, rs.Body.Close())
}

// Guards against a panic on malformed input and against accepting invalid values.
func FuzzDecodeFaults(f *testing.F) {
	f.Add([]byte(`{"outage":"hang","delay":"1s","loseAnswers":2,"freeze":true}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		fa, err := DecodeFaults(data)
		if err == nil {
			require.GreaterOrEqual(t, fa.DropResponses, 0)
			require.Contains(t, []string{"", Refuse, Hang}, fa.Outage)
		}
	})
}
