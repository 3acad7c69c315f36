package declaration

import (
	"errors"

	"github.com/goccy/go-yaml"

	"amaranthdock.dev/settings/strictyaml"
)

// Parse decodes a declaration in YAML and validates it. The error is of type
// strictyaml.Errors and holds all faults with their lines; validation starts
// only once the file decodes. The file name appears in errors only.
func Parse(file string, source []byte) (*Document, error) {
	document := &Document{}
	positions, err := strictyaml.Decode(file, source, document)
	if err != nil {
		return nil, err
	}
	err = Validate(document)
	var problems ValidationError
	if !errors.As(err, &problems) {
		return document, err
	}
	var faults strictyaml.Errors
	for _, problem := range problems {
		faults = append(faults, positions.ErrorAt(problem.Field, problem.Message))
	}
	return nil, faults
}

// Format returns the document as YAML that Parse accepts. Version and changes
// are not part of it; keys appear as hashes only.
func Format(document *Document) ([]byte, error) {
	return yaml.MarshalWithOptions(document, yaml.IndentSequence(true))
}
