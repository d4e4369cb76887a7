package sequence

import (
	"strings"
	"testing"
)

// Guards against a separator that is missed because it arrives in two pieces, and against blocks that are split elsewhere.
func TestBlocks(t *testing.T) {
	blocks := []string{"id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ": c\n\n", "data: d\r\n\n", "\n\n"}
	stream := strings.Join(blocks, "")
	if got := CountBlocks([]byte(stream)); got != len(blocks) {
		t.Errorf("%d blocks, want %d", got, len(blocks))
	}
	end, pending := 0, ""
	for i, block := range blocks {
		end += len(block)
		if got := string(FirstBlock([]byte(stream[end-len(block):]))); got != block {
			t.Errorf("block %d is %q, want %q", i, got, block)
		}
		for j := range block {
			pending += block[j : j+1]
			want := 0
			if j == len(block)-1 {
				want = len(pending)
			}
			if got := EndOfLast([]byte(pending), 1); got != want {
				t.Errorf("complete part of %q: %d bytes, want %d", pending, got, want)
			}
		}
		pending = ""
	}
}
