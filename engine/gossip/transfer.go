package gossip

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"amaranthdock.dev/engine/catalog"
	"amaranthdock.dev/engine/peer"
)

const (
	// maxTransferSize limits an encoded snapshot in bytes, and maxSnapshotSize the snapshot. Both
	// are several times what a configuration of 10,000 routes takes.
	maxTransferSize = 4 << 20
	maxSnapshotSize = 16 << 20
	// maxHeldSnapshots is the number of encoded snapshots of a kind that VMs may still read. VMs
	// request the differences from a few older configurations.
	maxHeldSnapshots = 4
	// maxDeltaEntries is the number of entries above which a difference of configurations is
	// offered as a transfer. They take about 5 kB.
	maxDeltaEntries = 64
)

// errSnapshotGone means that a VM does not have an offered snapshot any more.
var errSnapshotGone = errors.New("the VM has replaced the snapshot during its transfer")

// transfers holds the encoded snapshots that other VMs read in parts. A whole configuration takes
// longer than the timeout of a call if 30 VMs read it from one VM with a slow link, and holds up the
// pings on the same connection. The zero value is empty.
type transfers struct {
	mu             sync.Mutex
	configurations encodedSnapshots[*catalog.Configuration]
	deltas         encodedSnapshots[*catalog.ConfigurationDelta]
	endpoints      encodedSnapshots[*catalog.EndpointSnapshot]
	vms            encodedSnapshots[*catalog.VMSnapshot]
	encoder        snapshotEncoder
}

// encodedSnapshots holds the latest encoded snapshots, at most maxHeldSnapshots.
type encodedSnapshots[S comparable] struct {
	held []encodedSnapshot[S]
}

// encodedSnapshot is a compressed snapshot.
type encodedSnapshot[S comparable] struct {
	of   S
	id   uint64
	data []byte
}

// get returns the encoded form of a snapshot, and encodes it if it is not held.
func (e *encodedSnapshots[S]) get(snapshot S, encoder *snapshotEncoder) (encodedSnapshot[S], error) {
	for _, held := range e.held {
		if held.of == snapshot {
			return held, nil
		}
	}
	data, err := encoder.encode(snapshot)
	if err != nil {
		return encodedSnapshot[S]{}, err
	}
	if len(e.held) == maxHeldSnapshots {
		e.held = e.held[1:]
	}
	e.held = append(e.held, encodedSnapshot[S]{
		of:   snapshot,
		id:   xxhash.Sum64(data),
		data: data,
	})
	return e.held[len(e.held)-1], nil
}

// find returns the encoded snapshot with an ID; nil if it is not held.
func (e *encodedSnapshots[S]) find(id uint64) []byte {
	for _, held := range e.held {
		if held.id == id {
			return held.data
		}
	}
	return nil
}

// snapshotEncoder encodes snapshots. It keeps its compressor, whose 1.2 MB are most of the cost of
// a small snapshot.
type snapshotEncoder struct {
	compressor *flate.Writer
}

// encode encodes a snapshot. Most of a configuration repeats itself, so that compressing it, once
// for all VMs, saves most of its bytes.
func (e *snapshotEncoder) encode(snapshot any) ([]byte, error) {
	var encoded bytes.Buffer
	if e.compressor == nil {
		compressor, err := flate.NewWriter(&encoded, flate.BestSpeed)
		if err != nil {
			return nil, eris.Wrap(err, "create a compressor")
		}
		e.compressor = compressor
	} else {
		e.compressor.Reset(&encoded)
	}
	if err := gob.NewEncoder(e.compressor).Encode(snapshot); err != nil {
		return nil, eris.Wrap(err, "encode a snapshot")
	}
	if err := e.compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a snapshot")
	}
	return encoded.Bytes(), nil
}

// decodeSnapshot decodes a snapshot into the value to which the argument points.
func decodeSnapshot(data []byte, snapshot any) error {
	decompressor := flate.NewReader(bytes.NewReader(data))
	defer decompressor.Close()
	return eris.Wrap(gob.NewDecoder(io.LimitReader(decompressor, maxSnapshotSize)).Decode(snapshot), "decode a snapshot")
}

// offerTransfers replaces the whole snapshots and a large difference of configurations in a
// response by offers, of which the small ones contain all data.
func (s *Service) offerTransfers(response *peer.GossipResponse) {
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	left := peer.PartSize
	if response.VMs != nil {
		response.VMsTransfer = offer(s, &s.transfers.vms, response.VMs, &left)
		response.VMs = nil
	}
	if response.Endpoints != nil {
		response.EndpointsTransfer = offer(s, &s.transfers.endpoints, response.Endpoints, &left)
		response.Endpoints = nil
	}
	if response.Config != nil {
		response.ConfigTransfer = offer(s, &s.transfers.configurations, response.Config, &left)
		response.Config = nil
	}
	if response.ConfigDelta != nil && response.ConfigDelta.Len() > maxDeltaEntries {
		response.ConfigDeltaTransfer = offer(s, &s.transfers.deltas, response.ConfigDelta, &left)
		response.ConfigDelta = nil
	}
}

// offer returns the transfer of a snapshot; nil if it cannot be encoded. It includes the data if
// that is at most left bytes, and subtracts its length from left.
func offer[S comparable](s *Service, held *encodedSnapshots[S], snapshot S, left *int) *peer.Transfer {
	encoded, err := held.get(snapshot, &s.transfers.encoder)
	if err != nil {
		s.config.Log.Error(err, "Could not encode a snapshot for another VM.")
		return nil
	}
	transfer := &peer.Transfer{
		ID:   encoded.id,
		Size: len(encoded.data),
	}
	if len(encoded.data) <= *left {
		transfer.Data = encoded.data
		*left -= len(encoded.data)
	}
	return transfer
}

// Part returns a part of a snapshot that a response has offered.
func (s *Service) Part(request *peer.PartRequest) peer.PartResponse {
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	for _, data := range [][]byte{
		s.transfers.configurations.find(request.ID),
		s.transfers.deltas.find(request.ID),
		s.transfers.endpoints.find(request.ID),
		s.transfers.vms.find(request.ID),
	} {
		if request.Offset >= 0 && request.Offset < len(data) {
			return peer.PartResponse{Data: data[request.Offset:min(request.Offset+peer.PartSize, len(data))]}
		}
	}
	return peer.PartResponse{}
}

// fetchTransfers reads the snapshots that a response offers, sets them in it, and reports whether
// all could be read. One that could not stays nil; a later exchange offers it again.
func (s *Service) fetchTransfers(ctx context.Context, vm catalog.VM, response *peer.GossipResponse) bool {
	if vms := fetch[catalog.VMSnapshot](ctx, s, vm, response.VMsTransfer); vms != nil {
		vms.Revision = response.VMsRevision
		response.VMs = vms
	}
	if endpoints := fetch[catalog.EndpointSnapshot](ctx, s, vm, response.EndpointsTransfer); endpoints != nil {
		response.Endpoints = endpoints
	}
	if configuration := fetch[catalog.Configuration](ctx, s, vm, response.ConfigTransfer); configuration != nil {
		response.Config = configuration
	}
	if delta := fetch[catalog.ConfigurationDelta](ctx, s, vm, response.ConfigDeltaTransfer); delta != nil {
		response.ConfigDelta = delta
	}
	return (response.VMsTransfer == nil || response.VMs != nil) &&
		(response.EndpointsTransfer == nil || response.Endpoints != nil) &&
		(response.ConfigTransfer == nil || response.Config != nil) &&
		(response.ConfigDeltaTransfer == nil || response.ConfigDelta != nil)
}

// fetch reads a snapshot from a VM; nil if there is none or it could not be read.
func fetch[S any](ctx context.Context, s *Service, vm catalog.VM, transfer *peer.Transfer) *S {
	if transfer == nil {
		return nil
	}
	data, err := s.fetchParts(ctx, vm, transfer)
	var snapshot S
	if err == nil {
		err = decodeSnapshot(data, &snapshot)
	}
	if err != nil {
		s.config.Log.Info("Could not read a snapshot from a VM.", "peer", vm.Name, "size", transfer.Size, "received", len(data), "error", err.Error())
		return nil
	}
	return &snapshot
}

// fetchParts reads the encoded bytes of a snapshot. Each part has the timeout of an exchange, so
// that a slow link does not end a transfer that makes progress. It returns what it has received
// also with an error.
func (s *Service) fetchParts(ctx context.Context, vm catalog.VM, transfer *peer.Transfer) ([]byte, error) {
	if transfer.Size > maxTransferSize || len(transfer.Data) > transfer.Size {
		return nil, eris.Errorf("a snapshot of %d bytes is too large", transfer.Size)
	}
	data := transfer.Data
	for len(data) < transfer.Size {
		request := &peer.PartRequest{
			ID:     transfer.ID,
			Offset: len(data),
		}
		var response peer.PartResponse
		if err := s.config.Clients.Call(ctx, vm, "Part", request, &response, exchangeTimeout); err != nil {
			return data, err
		}
		if len(response.Data) == 0 {
			return data, errSnapshotGone
		}
		data = append(data, response.Data...)
	}
	if xxhash.Sum64(data) != transfer.ID {
		return data, eris.New("the bytes of a snapshot differ from those that were offered")
	}
	return data, nil
}
