package meshrunner

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/guavastall/guavastall/internal/registrar"
	"github.com/guavastall/guavastall/internal/replicator"
)

// A replica that does not hold the node's last record yet is no reason to publish
// again. Otherwise nodes that wake each other by publishing never stop.
func TestPublicationIsCurrent(t *testing.T) {
	en := registrar.Entry{Target: "a", Revision: 2}
	pu := publication{entry: en, value: []byte("two"), offset: 7}
	for name, tc := range map[string]struct {
		entry   registrar.Entry
		record  replicator.Record
		current bool
	}{
		"not read back yet":       {en, replicator.Record{}, true},
		"replica behind":          {en, replicator.Record{Offset: 5, Value: []byte("one")}, true},
		"read back":               {en, replicator.Record{Offset: 7, Value: []byte("two")}, true},
		"earlier append was late": {en, replicator.Record{Offset: 9, Value: []byte("one")}, false},
		"dropped":                 {en, replicator.Record{Offset: 9}, false},
		"changed": {
			registrar.Entry{Target: "b", Revision: 2},
			replicator.Record{Offset: 7, Value: []byte("two")}, false,
		},
	} {
		assert.Equal(t, tc.current, pu.isCurrent(tc.entry, tc.record), name)
	}
}

// A target that has ended is logged once, not at every check.
func TestFailedCheckLoggedOnce(t *testing.T) {
	var fc failedCheck
	assert.True(t, fc.update("a", "error"))
	assert.False(t, fc.update("a", "error"))
	assert.True(t, fc.update("a", "b"), "another target answers")
	assert.True(t, fc.update("c", "b"))
}
