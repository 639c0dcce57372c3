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

// A configuration must reach every node within two seconds. A node whose reader
// has just frozen, or whose reader's connection to the store has stopped
// responding, must have a second left to read a slow store itself.
func TestChangesPropagateInTime(t *testing.T) {
	const bound, slowRead = 2 * time.Second, time.Second
	assert.LessOrEqual(t, relayWait+relayResponseSlack, bound-slowRead)
	assert.LessOrEqual(t, maxStoreReadAge, bound-slowRead)
	assert.Less(t, readerWait, maxStoreReadAge, "the last read of a healthy reader is not too old")
}

// A compressed response is complete, so that decompressing it does not end early.
func TestCompressIsComplete(t *testing.T) {
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
