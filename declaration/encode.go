package declaration

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// MaxValueSize is the maximum size of an encoded document in bytes, which is the
	// store's limit.
	MaxValueSize = 1 << 20
	// maxDocumentSize bounds the memory that decoding a corrupt value can use.
	maxDocumentSize = 64 << 20
)

// ErrTooLarge is returned for a document that exceeds the store's limit.
var ErrTooLarge = eris.New("the document is larger than the store's limit")

var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

// Encode encodes a document for the store as JSON compressed with zstd.
func Encode(document *Document) ([]byte, error) {
	encoded, err := json.Marshal(document)
	if err != nil {
		return nil, eris.Wrap(err, "encode the document")
	}
	value := compressor.EncodeAll(encoded, nil)
	if len(value) > MaxValueSize {
		return nil, eris.Wrapf(ErrTooLarge, "the compressed document has %d bytes, the limit is %d", len(value), MaxValueSize)
	}
	return value, nil
}

// Decode decodes a document from the store. Unknown fields are ignored, because a newer
// proxy may have written the value.
func Decode(value []byte) (*Document, error) {
	encoded, err := decompressor.DecodeAll(value, nil)
	if err != nil {
		return nil, eris.Wrap(err, "decompress the document")
	}
	document := &Document{}
	if err := json.Unmarshal(encoded, document); err != nil {
		return nil, eris.Wrap(err, "decode the document")
	}
	return document, nil
}

// newCompressor panics only if the options are invalid.
func newCompressor() *zstd.Encoder {
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		panic(err)
	}
	return encoder
}

// newDecompressor panics only if the options are invalid.
func newDecompressor() *zstd.Decoder {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDocumentSize))
	if err != nil {
		panic(err)
	}
	return decoder
}
