package budget

// ProgressBytes is what a caller has to send or to read until it counts as progress.
const ProgressBytes = 16 << 10

// ProgressCounter counts the bytes that a caller has sent or read since its last progress. The zero
// value is ready to use.
type ProgressCounter struct{ pending int }

// Add counts bytes, and reports whether they complete ProgressBytes.
func (p *ProgressCounter) Add(bytes int) bool {
	if p.pending += bytes; p.pending < ProgressBytes {
		return false
	}
	p.pending = 0
	return true
}

// Left returns the number of bytes until the next progress.
func (p *ProgressCounter) Left() int { return ProgressBytes - p.pending }
