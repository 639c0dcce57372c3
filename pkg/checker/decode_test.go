package checker

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const validDocument = `{
  "profiles": {
    "steady": {
      "routing": {"localShare": 0.8, "healthyFloor": 0.5, "hedge": false},
      "rollout": {"steps": [0.005, 0.05, 0.25, 1], "stepTime": "10s", "minCalls": 50,
        "maxErrorIncrease": 0.01, "maxLatencyFactor": 2, "quietAfter": "10m"},
      "limits": {"initialConcurrency": 2, "queueTime": "20ms", "maxBodyBytes": 1048576},
      "retries": {"budgetRatio": 0.1, "maxAttempts": 3},
      "dataCentres": {"returnTime": "30s", "spill": true}
    }
  },
  "services": {
    "tag": {
      "profile": "steady", "version": "v1",
      "routes": [{"name": "confirm", "pathPrefix": "/confirm", "methods": ["POST"],
        "idempotent": false, "timeout": "2s", "once": "log"}]
    }
  }
}`

func TestDecodeValid(t *testing.T) {
	doc, err := Decode([]byte(validDocument))
	require.NoError(t, err)
	require.Equal(t, Version("v1"), doc.Services["tag"].Version)
}

// Guards against accepting an invalid document, and against errors that do not state
// the place of the fault or the accepted values.
func TestDecodeRefuses(t *testing.T) {
	for _, tt := range []struct {
		name, old, replacement, want string
	}{
		{"unknown field", `"spill": true`, `"spil": true`, `spil`},
		{"unknown profile", `"profile": "steady"`, `"profile": "fast"`, `profile "fast" does not exist`},
		{"repeated name", `"tag": {`, `"tag": {}, "tag": {`, `line 13: the name "tag" stands twice`},
		{"negative number", `"minCalls": 50`, `"minCalls": -1`, "-1 is not between 1 and"},
		{"duration out of range", `"timeout": "2s"`, `"timeout": "9000h"`, "is not between 1ms and"},
		{"duration without unit", `"timeout": "2s"`, `"timeout": 2`, "250ms"},
		{"share above one", `"localShare": 0.8`, `"localShare": 8`, "not a share from 0 to 1"},
		{"decreasing steps", `[0.005, 0.05, 0.25, 1]`, `[0.5, 0.05, 1]`,
			"must be above the step before it"},
		{"last step below one", `[0.005, 0.05, 0.25, 1]`, `[0.5]`, "must end in 1"},
		{"wrong type", `"minCalls": 50`, `"minCalls": "many"`, "wants a int"},
		{"truncated", validDocument[len(validDocument)-20:], ``, "the document ends too early"},
		{"trailing text", validDocument[len(validDocument)-2:],
			validDocument[len(validDocument)-2:] + "{}", "after the end"},
		{"once", `"once": "log"`, `"once": "twice"`, `"memory" or "log"`},
		{"path", `"/confirm"`, `"confirm"`, `does not begin with "/"`},
		{"too large", `"profiles"`, strings.Repeat(" ", MaxDocumentBytes) + `"profiles"`, "the limit is"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Contains(t, validDocument, tt.old)
			_, err := Decode([]byte(strings.Replace(validDocument, tt.old, tt.replacement, 1)))
			require.ErrorContains(t, err, tt.want)
		})
	}
}

// Guards against reporting only the first of several faults.
func TestDecodeReportsAllFaults(t *testing.T) {
	text := strings.Replace(validDocument, `"minCalls": 50`, `"minCalls": 0`, 1)
	text = strings.Replace(text, `"profile": "steady"`, `"profile": "fast"`, 1)
	_, err := Decode([]byte(text))
	var faults Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 2)
}

// Guards against panics on arbitrary input and against Decode accepting a document
// that Check rejects.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"a":[{"a":1}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Decode(data)
		if err == nil {
			require.Empty(t, Check(doc))
		}
	})
}
