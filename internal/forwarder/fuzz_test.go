package forwarder

import (
	"encoding/json"
	"net/http"
	"path"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/answerer"
	"github.com/guavastall/guavastall/internal/router"
)

// Guards against accepting an impossible load report from a peer, and against a
// load report that changes when it is formatted and parsed again.
func FuzzParseLoad(f *testing.F) {
	f.Add("3/20;cold")
	f.Add("-1/9999999999999999999")
	f.Fuzz(func(t *testing.T, text string) {
		var re router.Report
		parseLoad(text, &re)
		require.GreaterOrEqual(t, min(re.InFlight, re.Limit), 0)
		var again router.Report
		parseLoad(formatLoad(re.InFlight, re.Limit, re.Cold), &again)
		require.Equal(t, re, again)
	})
}

// Guards against accepting a path that changes when it is cleaned, a deadline
// beyond the limit, and a panic on malicious headers.
func FuzzParseCall(f *testing.F) {
	f.Add("/scan", "tag.mesh:80", "250ms", "3", "key", "close, X-A")
	f.Add("/a/../b", "", "-9000h", "-1", strings.Repeat("k", 300), ",,")
	f.Fuzz(func(t *testing.T, target, host, timeout, depth, key, connection string) {
		r, err := http.NewRequest(http.MethodPost, "http://tag/", nil)
		require.NoError(t, err)
		r.URL.Path, r.Host = target, host
		for name, value := range map[string]string{
			headerTimeout: timeout, headerDepth: depth, headerKey: key, headerConnection: connection,
		} {
			r.Header.Set(name, value)
		}
		now := time.Unix(1000, 0)
		ca, err := parseCall(r, now)
		if err != nil {
			require.Equal(t, answerer.BadRequest, answerer.KindOf(err))
			return
		}
		ca.limitTimeout(time.Minute)
		require.False(t, ca.deadline.After(now.Add(time.Minute)))
		require.Less(t, ca.depth, maxDepth)
		require.Equal(t, strings.Trim(path.Clean(target), "/"),
			strings.Trim(strings.Join(strings.FieldsFunc(target, func(ru rune) bool { return ru == '/' }), "/"), "/"))
		require.Empty(t, ca.header[headerConnection])
		require.NotContains(t, ca.header, headerKey)
	})
}

// Guards against an error response of http.Server that is converted into a
// malformed response.
func FuzzErrorResponse(f *testing.F) {
	f.Add("HTTP/1.1 400 Bad Request" + stdlibErrorHead + "400 Bad Request")
	f.Add("HTTP/1.1 200 OK" + stdlibErrorHead)
	f.Fuzz(func(t *testing.T, data string) {
		text, ok := errorResponse(data)
		if !ok {
			return
		}
		_, body, found := strings.Cut(text, "\r\n\r\n")
		require.True(t, found)
		require.True(t, json.Valid([]byte(body)), body)
	})
}
