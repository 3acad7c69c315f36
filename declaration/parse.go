package declaration

import (
	"errors"

	"github.com/goccy/go-yaml"

	"amaranthdock.dev/settings/strictyaml"
)

// Parse decodes a declaration in YAML and validates it. The error is of type
// strictyaml.Errors and contains all errors found, with their positions. A file that
// cannot be decoded is not validated. The file name is only used in errors.
func Parse(file string, source []byte) (*Document, error) {
	document := &Document{}
	positions, err := strictyaml.Decode(file, source, document)
	if err != nil {
		return nil, err
	}
	err = Validate(document)
	var violations ValidationError
	if !errors.As(err, &violations) {
		return document, err
	}
	var errs strictyaml.Errors
	for _, violation := range violations {
		errs = append(errs, positions.ErrorAt(violation.Field, violation.Message))
	}
	return nil, errs
}

// Format encodes a document as YAML that Parse accepts. It omits Version and Changes;
// keys appear only as hashes.
func Format(document *Document) ([]byte, error) {
	return yaml.MarshalWithOptions(document, yaml.IndentSequence(true))
}
