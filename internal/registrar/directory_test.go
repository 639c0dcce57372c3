package registrar

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkEntryChange measures what one changed entry costs a node in a mesh of the
// given size, beside a naive directory that decodes all entries on each change.
func BenchmarkEntryChange(b *testing.B) {
	for _, nodes := range []int{30, 295, 748} {
		keys, values := make([]string, nodes), make([][]byte, nodes)
		for nn := range nodes {
			node := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(nn / 250), byte(nn%250 + 1)}), 80)
			en := NewEntry(node, "north", Instance{
				Heartbeat: heartbeat(fmt.Sprint(nn), 5, time.UnixMilli(1_000_000)), State: Ready,
			})
			en.Incarnation, en.Revision = 1, 1
			data, err := en.Encode()
			require.NoError(b, err)
			keys[nn], values[nn] = en.Key(), data
		}
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			var di Directory
			for nn := range nodes {
				require.NoError(b, di.Set(keys[nn], values[nn]))
			}
			nn := 0
			for b.Loop() {
				nn = (nn + 1) % nodes
				if err := di.Set(keys[nn], values[nn]); err != nil {
					b.Fatal(err)
				}
				di.Others(netip.AddrPort{})
			}
		})
		b.Run(fmt.Sprintf("naive/nodes=%d", nodes), func(b *testing.B) {
			for b.Loop() {
				for nn := range nodes {
					if _, err := DecodeEntry(keys[nn], values[nn]); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
