package sequence

import "bytes"

// An event stream consists of blocks, each of which ends with an empty line. Lines end with a line feed, and may have a carriage return before it.
var (
	emptyLine     = []byte("\n\n")
	emptyLineCRLF = []byte("\n\r\n")
)

// EndOfLast returns the length of the complete blocks at the start of a stream's bytes, zero if none is complete. Only the last added bytes are
// searched: those before them hold no complete block.
func EndOfLast(stream []byte, added int) int {
	end := max(0, len(stream)-added-len(emptyLineCRLF)+1)
	found := 0
	if i := bytes.LastIndex(stream[end:], emptyLine); i >= 0 {
		end += i + len(emptyLine)
		found = end
	}
	if i := bytes.LastIndex(stream[end:], emptyLineCRLF); i >= 0 {
		found = end + i + len(emptyLineCRLF)
	}
	return found
}

// FirstBlock returns the first of complete blocks, with the empty line after it.
func FirstBlock(blocks []byte) []byte {
	first := blocks
	if i := bytes.Index(blocks, emptyLine); i >= 0 {
		first = blocks[:i+len(emptyLine)]
	}
	if bytes.IndexByte(first, '\r') < 0 {
		return first
	}
	if i := bytes.Index(first, emptyLineCRLF); i >= 0 {
		first = blocks[:i+len(emptyLineCRLF)]
	}
	return first
}

// CountBlocks returns the number of complete blocks.
func CountBlocks(blocks []byte) int {
	n := bytes.Count(blocks, emptyLine)
	if bytes.IndexByte(blocks, '\r') >= 0 {
		n += bytes.Count(blocks, emptyLineCRLF)
	}
	return n
}
