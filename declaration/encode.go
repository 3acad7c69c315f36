package declaration

import (
	"encoding/json"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

const (
	// MaxValueSize of an encoded document in bytes: the store's limit.
	MaxValueSize = 1 << 20
	// maxDocumentSize bounds the memory that a corrupt value can take.
	maxDocumentSize = 64 << 20
)

// ErrTooLarge is returned for a document that the store cannot hold.
var ErrTooLarge = eris.New("the document is larger than the store's limit")

var (
	compressor   = newCompressor()
	decompressor = newDecompressor()
)

// Encode returns the value for the store: JSON compressed with zstd.
func Encode(document *Document) ([]byte, error) {
	plain, err := json.Marshal(document)
	if err != nil {
		return nil, eris.Wrap(err, "encode the document")
	}
	value := compressor.EncodeAll(plain, nil)
	if len(value) > MaxValueSize {
		return nil, eris.Wrapf(ErrTooLarge, "the compressed document has %d bytes, the limit is %d", len(value), MaxValueSize)
	}
	return value, nil
}

// Decode returns the document of a value from the store. Fields that it does not
// know are ignored, because a newer proxy may have written the value.
func Decode(value []byte) (*Document, error) {
	plain, err := decompressor.DecodeAll(value, nil)
	if err != nil {
		return nil, eris.Wrap(err, "decompress the document")
	}
	document := &Document{}
	if err := json.Unmarshal(plain, document); err != nil {
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
