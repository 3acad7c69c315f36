// Package strictyaml decodes YAML files into structs and reports every unknown field,
// duplicate field and wrong type with its file, line, column and path.
package strictyaml

import (
	"encoding"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxFileSize is the maximum size of a file in bytes. It limits the memory that the
// parser uses. The files are written by people and are much smaller.
const MaxFileSize = 4 << 20

// Positions maps the paths of the fields in a file to their positions.
type Positions struct {
	file   string
	byPath map[string]*token.Position
}

// Decode decodes the source into target, a pointer to a struct whose fields have yaml
// tags. The error is of type Errors and contains all errors found. Fields that are
// missing in the source keep the value that they have in target.
func Decode(file string, source []byte, target any) (*Positions, error) {
	d := &decoder{
		positions: &Positions{
			file:   file,
			byPath: map[string]*token.Position{},
		},
	}
	if len(source) > MaxFileSize {
		d.addError("", nil, fmt.Sprintf("the file has %d bytes, the maximum is %d", len(source), MaxFileSize))
		return d.positions, d.errors
	}
	parsed, err := parser.ParseBytes(source, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		d.addLibraryError("", nil, err)
		return d.positions, d.errors
	}
	if len(parsed.Docs) != 1 || parsed.Docs[0].Body == nil {
		d.addError("", nil, "the file must contain exactly one YAML document")
		return d.positions, d.errors
	}
	d.decode("", parsed.Docs[0].Body, reflect.ValueOf(target).Elem())
	return d.positions, d.errors.ErrorOrNil()
}

// ErrorAt returns an error for the field at path. Its position is that of the field, or
// of the nearest enclosing field that the file contains.
func (p *Positions) ErrorAt(path, message string) *Error {
	located := &Error{
		File:    p.file,
		Field:   path,
		Message: message,
	}
	for ancestor := path; ; ancestor = ancestor[:strings.LastIndexAny(ancestor, ".[")] {
		if position, ok := p.byPath[ancestor]; ok {
			located.Line = position.Line
			located.Column = position.Column
			return located
		}
		if !strings.ContainsAny(ancestor, ".[") {
			break
		}
	}
	if position, ok := p.byPath[""]; ok {
		located.Line = position.Line
		located.Column = position.Column
	}
	return located
}

type decoder struct {
	positions *Positions
	errors    Errors
}

var (
	durationType        = reflect.TypeFor[time.Duration]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func (d *decoder) decode(path string, node ast.Node, target reflect.Value) {
	if _, known := d.positions.byPath[path]; !known {
		d.positions.byPath[path] = node.GetToken().Position
	}
	switch node.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		d.addError(path, node, "anchors, aliases and tags are not supported")
		return
	}
	kind := target.Kind()
	switch {
	case kind == reflect.Pointer:
		target.Set(reflect.New(target.Type().Elem()))
		d.decode(path, node, target.Elem())
	case target.Type() == durationType:
		d.decodeDuration(path, node, target)
	case target.Addr().Type().Implements(textUnmarshalerType):
		d.decodeText(path, node, target)
	case kind == reflect.Struct:
		d.decodeStruct(path, node, target)
	case kind == reflect.Slice:
		d.decodeSlice(path, node, target)
	default:
		d.decodeScalar(path, node, target)
	}
}

func (d *decoder) decodeDuration(path string, node ast.Node, target reflect.Value) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.addError(path, node, "must be a duration with a unit, e.g. 500ms or 5s")
		return
	}
	duration, err := time.ParseDuration(text.Value)
	if err != nil {
		d.addError(path, node, "must be a duration with a unit, e.g. 500ms or 5s; got "+text.Value)
		return
	}
	target.SetInt(int64(duration))
}

func (d *decoder) decodeScalar(path string, node ast.Node, target reflect.Value) {
	expected, ok := checkScalar(node, target.Kind())
	if !ok {
		d.addError(path, node, fmt.Sprintf("must be %s, not %s", expected, strings.ToLower(node.Type().String())))
		return
	}
	if err := yaml.NodeToValue(node, target.Addr().Interface(), yaml.Strict()); err != nil {
		d.addLibraryError(path, node, err)
	}
}

func (d *decoder) decodeSlice(path string, node ast.Node, target reflect.Value) {
	if _, isNull := node.(*ast.NullNode); isNull {
		return
	}
	sequence, ok := node.(*ast.SequenceNode)
	if !ok {
		d.addError(path, node, "must be a list")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(sequence.Values), len(sequence.Values)))
	for i, value := range sequence.Values {
		d.decode(fmt.Sprintf("%s[%d]", path, i), value, target.Index(i))
	}
}

func (d *decoder) decodeStruct(path string, node ast.Node, target reflect.Value) {
	mapping, ok := node.(*ast.MappingNode)
	if !ok {
		d.addError(path, node, "must be a mapping")
		return
	}
	fields := fieldsByName(target)
	seen := map[string]bool{}
	for _, value := range mapping.Values {
		name := value.Key.GetToken().Value
		child := strings.TrimPrefix(path+"."+name, ".")
		field, known := fields[name]
		if !known {
			d.addError(child, value.Key, "unknown field")
			continue
		}
		if seen[name] {
			d.addError(child, value.Key, "duplicate field")
			continue
		}
		seen[name] = true
		d.positions.byPath[child] = value.Key.GetToken().Position
		d.decode(child, value.Value, field)
	}
}

func (d *decoder) decodeText(path string, node ast.Node, target reflect.Value) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		d.addError(path, node, "must be a string")
		return
	}
	if err := target.Addr().Interface().(encoding.TextUnmarshaler).UnmarshalText([]byte(text.Value)); err != nil {
		d.addError(path, node, err.Error())
	}
}

// addError records an error at the node, or at the position of the path if there is no
// node.
func (d *decoder) addError(path string, node ast.Node, message string) {
	e := d.positions.ErrorAt(path, message)
	if node != nil {
		e.Line = node.GetToken().Position.Line
		e.Column = node.GetToken().Position.Column
	}
	d.errors = append(d.errors, e)
}

// addLibraryError records an error of the YAML library with its message and position.
func (d *decoder) addLibraryError(path string, node ast.Node, err error) {
	d.addError(path, node, err.Error())
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) {
		return
	}
	last := d.errors[len(d.errors)-1]
	last.Message = yamlError.GetMessage()
	if offendingToken := yamlError.GetToken(); offendingToken != nil && node == nil {
		last.Line = offendingToken.Position.Line
		last.Column = offendingToken.Position.Column
	}
}

// checkScalar reports whether a node has the type that a field of this kind expects. If
// not, expected describes that type. The check is needed because the library silently
// converts between numbers and strings.
func checkScalar(node ast.Node, kind reflect.Kind) (expected string, ok bool) {
	switch kind {
	case reflect.Bool:
		_, ok = node.(*ast.BoolNode)
		return "true or false", ok
	case reflect.Float32, reflect.Float64:
		switch node.(type) {
		case *ast.IntegerNode, *ast.FloatNode:
			return "", true
		}
		return "a number", false
	case reflect.String:
		switch node.(type) {
		case *ast.StringNode, *ast.LiteralNode:
			return "", true
		}
		return "a string (quote it if needed)", false
	default:
		_, ok = node.(*ast.IntegerNode)
		return "an integer", ok
	}
}

// fieldsByName maps the names in the yaml tags of a struct to its fields.
func fieldsByName(target reflect.Value) map[string]reflect.Value {
	fields := map[string]reflect.Value{}
	for i := range target.NumField() {
		name, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("yaml"), ",")
		if name != "" && name != "-" {
			fields[name] = target.Field(i)
		}
	}
	return fields
}
