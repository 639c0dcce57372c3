package meshrunner

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/guavastall/guavastall/internal/replicator"
)

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
