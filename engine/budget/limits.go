package budget

import (
	"time"

	"amaranthdock.dev/decision/memory"
)

// Limits are the limits of what callers, endpoints and VMs may make this process hold. A field that
// is zero has its default.
type Limits struct {
	// MemoryBytes is the memory for messages, answers, sessions and connections.
	MemoryBytes int64
	// Connections is the number of accepted connections of callers, PeerConnections that of other
	// VMs.
	Connections, PeerConnections int
	// MessageTime limits the time from the first byte of a message to its last.
	MessageTime time.Duration
	// WriteStall limits the time in which a caller reads nothing of an answer, AnswerTime the time
	// for a whole answer.
	WriteStall, AnswerTime time.Duration
	// Stall is the time without progress after which a connection may be closed because others
	// need its memory or descriptor.
	Stall time.Duration
	// SessionNames and SessionBytes limit the values and prepared statements of a session.
	SessionNames int
	SessionBytes int64
	// AnswerBytes limits an endpoint's answer to one command, PeerMessageBytes a message of
	// another VM.
	AnswerBytes, PeerMessageBytes int64
}

const (
	// memoryDivisor and memoryShare give the part of the process's memory that the budget is:
	// 0.35. The Go runtime may use 0.6, of which an idle process takes 0.1 of the smallest VM
	// (136 MB); the rest is garbage that has not been collected.
	memoryDivisor, memoryShare = 100, 35
	// fileDescriptors is the number of descriptors that the platform reserves for files.
	fileDescriptors = 200
	// connectionEighths and peerEighths are the parts of the other descriptors that callers and
	// incoming connections of VMs may use. The rest is for connections to endpoints, VMs and the
	// store, and for readiness checks. With 3,010 descriptors VMs have 702: twice the largest
	// fleet (295 VMs), because after a loss of power the connections of the processes before are
	// there for 3 s.
	connectionEighths, peerEighths, eighths = 5, 2, 8
	// minPeerConnections is enough for small deployments whose limit is not known or low.
	minPeerConnections = 32

	// defaultMessageTime allows 1 MiB at 0.3 Mbit/s.
	defaultMessageTime = 30 * time.Second
	// defaultWriteStall is the former limit for a whole answer.
	defaultWriteStall = 5 * time.Second
	// defaultAnswerTime allows 1 MiB at 0.3 Mbit/s.
	defaultAnswerTime = 30 * time.Second
	// defaultStall is far above the time in which a caller that works sends the next part of a
	// message, and below the timeouts of most requests that wait for the memory.
	defaultStall = time.Second
	// defaultSessionNames and defaultSessionBytes allow a prepared statement and a value of the
	// largest legal message. Sessions in use have a few names with some hundred bytes.
	defaultSessionNames = 1000
	defaultSessionBytes = 2<<20 + 64<<10
	// defaultAnswerBytes is a few times the longest line of an answer. Small processes have less.
	defaultAnswerBytes = 8 << 20
	// defaultPeerMessageBytes allows a statement of the largest legal length with all values of a
	// session, and an answer of defaultAnswerBytes.
	defaultPeerMessageBytes = 16 << 20
)

// ConnectionBytes is the memory that each connection of a caller counts for: its buffers, stacks
// and session, and messages and answers of up to FreeBytes.
const ConnectionBytes = 16 << 10

// FreeBytes is the length up to which a message or an answer needs no memory of its own.
const FreeBytes = 4 << 10

// WithDefaults returns the limits of a process with its defaults; the memory in MiB and the
// descriptors are 0 if they are not known, and then not limited.
func (l Limits) WithDefaults(memoryMiB int64, descriptors int) Limits {
	setDefault(&l.MemoryBytes, memoryMiB<<20*memoryShare/memoryDivisor)
	connections := 0
	if descriptors > 0 {
		connections = max((descriptors-fileDescriptors)*connectionEighths/eighths, 1)
	}
	if l.MemoryBytes > 0 {
		// See decision/memory for the parts of the budget.
		byMemory := max(int(memory.MaxFixed(l.MemoryBytes)/ConnectionBytes), 1)
		if connections == 0 || byMemory < connections {
			connections = byMemory
		}
	}
	setDefault(&l.Connections, connections)
	if descriptors > 0 {
		setDefault(&l.PeerConnections, max((descriptors-fileDescriptors)*peerEighths/eighths, minPeerConnections))
	}
	setDefault(&l.MessageTime, defaultMessageTime)
	setDefault(&l.WriteStall, defaultWriteStall)
	setDefault(&l.AnswerTime, defaultAnswerTime)
	setDefault(&l.Stall, defaultStall)
	setDefault(&l.SessionNames, defaultSessionNames)
	setDefault(&l.SessionBytes, defaultSessionBytes)
	answer := int64(defaultAnswerBytes)
	if l.MemoryBytes > 0 {
		answer = min(answer, memory.MaxAnswer(l.MemoryBytes))
	}
	setDefault(&l.AnswerBytes, answer)
	setDefault(&l.PeerMessageBytes, defaultPeerMessageBytes)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
