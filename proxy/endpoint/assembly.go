package endpoint

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/proxy/peer"
)

// answer is the complete answer to a step.
type answer struct {
	rows         []*callerv1.Row
	rowsAffected int64
	position     logpos.Position
	term         uint64
	duplicate    bool
}

// assembly collects the pieces of one answer, in any order.
type assembly struct {
	pieces map[uint32]*endpointv1.Piece
	last   *endpointv1.Piece
}

// add takes a piece and tells whether the answer is complete. A piece that was
// seen before is ignored; one that contradicts the others is an error.
func (a *assembly) add(piece *endpointv1.Piece) (complete bool, err error) {
	if a.pieces == nil {
		a.pieces = map[uint32]*endpointv1.Piece{}
	}
	sequence := piece.GetSequence()
	if known, ok := a.pieces[sequence]; ok {
		if !proto.Equal(known, piece) {
			return false, eris.Errorf("two pieces with sequence number %d", sequence)
		}
		return false, nil
	}
	if piece.GetLast() {
		if a.last != nil {
			return false, eris.New("two last pieces")
		}
		a.last = piece
	}
	a.pieces[sequence] = piece
	if a.last == nil {
		return false, nil
	}
	for known := range a.pieces {
		if known > a.last.GetSequence() {
			return false, eris.Errorf("piece %d after the last one", known)
		}
	}
	return len(a.pieces) == int(a.last.GetSequence())+1, nil
}

// answer returns the complete answer.
func (a *assembly) answer() answer {
	result := answer{
		rowsAffected: a.last.GetRowsAffected(),
		position:     peer.DecodePosition(a.last.GetPosition()),
		term:         a.last.GetTerm(),
		duplicate:    a.last.GetDuplicate(),
	}
	for i := range a.last.GetSequence() + 1 {
		result.rows = append(result.rows, a.pieces[i].GetRows()...)
	}
	return result
}
