package meshrunner

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/replicator"
)

// A configuration has two seconds to reach every node. A node that waits at a
// reader which has just frozen has a second left to read a slow store itself, and
// one whose reader's connection turned silent too.
func TestNewsInTime(t *testing.T) {
	const bound, slowRead = 2 * time.Second, time.Second
	assert.LessOrEqual(t, relayWait+relaySlack, bound-slowRead)
	assert.LessOrEqual(t, overdueTime, bound-slowRead)
	assert.Less(t, readerWait, overdueTime, "a sound reader is not overdue")
}

// A compressed answer is whole: its reader does not meet an early end.
func TestCompressIsWhole(t *testing.T) {
	sn := replicator.Snapshot{End: 9, Records: []replicator.Record{
		{Key: "config", Value: bytes.Repeat([]byte("abc"), 10_000), Offset: 8},
	}}
	data, err := compress(sn)
	require.NoError(t, err)
	zr, err := gzip.NewReader(bytes.NewReader(data))
	require.NoError(t, err)
	var got replicator.Snapshot
	require.NoError(t, json.NewDecoder(zr).Decode(&got))
	assert.Equal(t, sn, got)
}
