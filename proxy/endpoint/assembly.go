package endpoint

import (
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	callerv1 "amaranthdock.dev/api/amaranthdock/caller/v1"
	endpointv1 "amaranthdock.dev/api/amaranthdock/endpoint/v1"
	"amaranthdock.dev/decision/logpos"
	"amaranthdock.dev/proxy/peer"
)

// response is the complete response to a step.
type response struct {
	rows         []*callerv1.Row
	rowsAffected int64
	position     logpos.Position
	term         uint64
	duplicate    bool
}

// responseAssembler assembles the response to one step from its pieces, which may
// arrive in any order and more than once.
type responseAssembler struct {
	pieces map[uint32]*endpointv1.Piece
	last   *endpointv1.Piece
}

// add adds a piece and reports whether it completes the response. Duplicates are
// ignored; a piece that conflicts with the others is an error.
func (a *responseAssembler) add(piece *endpointv1.Piece) (complete bool, err error) {
	if a.pieces == nil {
		a.pieces = map[uint32]*endpointv1.Piece{}
	}
	sequence := piece.GetSequence()
	if known, ok := a.pieces[sequence]; ok {
		if !proto.Equal(known, piece) {
			return false, eris.Errorf("conflicting pieces with sequence number %d", sequence)
		}
		return false, nil
	}
	if piece.GetLast() {
		if a.last != nil {
			return false, eris.New("more than one piece is marked as last")
		}
		a.last = piece
	}
	a.pieces[sequence] = piece
	if a.last == nil {
		return false, nil
	}
	for known := range a.pieces {
		if known > a.last.GetSequence() {
			return false, eris.Errorf("piece %d follows the last piece", known)
		}
	}
	return len(a.pieces) == int(a.last.GetSequence())+1, nil
}

// response returns the assembled response. All pieces must have been added.
func (a *responseAssembler) response() response {
	result := response{
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
