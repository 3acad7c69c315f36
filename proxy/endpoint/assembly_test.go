package endpoint

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
)

func newPiece(sequence uint32, last bool) *endpointv1.Piece {
	return &endpointv1.Piece{
		Sequence: sequence,
		Last:     last,
		Rows: []*callerv1.Row{
			{Columns: []string{strconv.Itoa(int(sequence))}},
		},
	}
}

// TestAssemblyOrder guards against rows that are lost, duplicated or reordered when
// pieces arrive in any order and more than once.
func TestAssemblyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "count")
		var pieces []*endpointv1.Piece
		for i := range count {
			pieces = append(pieces, newPiece(uint32(i), i == count-1))
		}
		repeated := rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 5).Draw(t, "repeated")
		order := rapid.Permutation(append(pieces, repeated...)).Draw(t, "order")
		var a responseAssembler
		seen := map[uint32]bool{}
		for _, piece := range order {
			wasNew := !seen[piece.GetSequence()]
			seen[piece.GetSequence()] = true
			complete, err := a.add(piece)
			if err != nil {
				t.Fatal(err)
			}
			if complete != (wasNew && len(seen) == count) {
				t.Fatalf("complete %v after %d of %d pieces", complete, len(seen), count)
			}
		}
		for i, row := range a.response().rows {
			if row.GetColumns()[0] != strconv.Itoa(i) {
				t.Fatalf("row %d is %v", i, row)
			}
		}
	})
}

// TestAssemblyContradictions guards against a response that is assembled from
// conflicting pieces.
func TestAssemblyContradictions(t *testing.T) {
	for name, pieces := range map[string][]*endpointv1.Piece{
		"two last pieces":       {newPiece(1, true), newPiece(2, true)},
		"piece after the last":  {newPiece(1, true), newPiece(2, false)},
		"last before a piece":   {newPiece(2, false), newPiece(1, true)},
		"same number, differs":  {newPiece(0, false), {Sequence: 0}},
		"also marked as last":   {newPiece(0, false), newPiece(0, true)},
		"very high last number": {newPiece(1<<32-1, true), newPiece(1<<32-2, true)},
	} {
		t.Run(name, func(t *testing.T) {
			var a responseAssembler
			var failed error
			for _, piece := range pieces {
				if _, err := a.add(piece); err != nil {
					failed = err
				}
			}
			NewWithT(t).Expect(failed).To(HaveOccurred())
		})
	}
}
