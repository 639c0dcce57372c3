package stripper

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNewHopByHop(t *testing.T) {
	ho := NewHopByHop(http.Header{"Connection": {"close, X-One", "x-two"}})
	for name, want := range map[string]bool{
		"Connection": true, "Keep-Alive": true, "Transfer-Encoding": true, "X-One": true,
		"X-Two": true, "Close": false, "X-Three": false, "Content-Type": false,
	} {
		assert.Equal(t, want, ho.Has(name), name)
	}
}
