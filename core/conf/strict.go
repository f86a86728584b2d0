package conf

import (
	"reflect"
	"slices"
	"strconv"
	"strings"
)

func shapeOf(v any) reflect.Type { return reflect.TypeOf(v).Elem() }

// checkMembers finds members that a shape does not know. The standard decoder stops at the first
// and gives no path, and it takes names in any case.
func checkMembers(tree any, shape reflect.Type, path string, e *Error) {
	switch node := tree.(type) {
	case map[string]any:
		if shape.Kind() == reflect.Struct {
			checkObject(node, shape, path, e)
		}
	case []any:
		if shape.Kind() != reflect.Slice {
			return
		}
		for i, item := range node {
			checkMembers(item, shape.Elem(), path+"["+strconv.Itoa(i)+"]", e)
		}
	}
}

func checkObject(node map[string]any, shape reflect.Type, path string, e *Error) {
	for _, name := range sortedNames(node) {
		inner := strings.TrimPrefix(path+"."+name, ".")
		field, ok := fieldOf(shape, name)
		if !ok {
			e.addf("%s: unknown member", inner)
			continue
		}
		checkMembers(node[name], field.Type, inner, e)
	}
}

func sortedNames(node map[string]any) []string {
	names := make([]string, 0, len(node))
	for name := range node {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func fieldOf(shape reflect.Type, name string) (reflect.StructField, bool) {
	for i := range shape.NumField() {
		if shape.Field(i).Tag.Get("json") == name {
			return shape.Field(i), true
		}
	}
	return reflect.StructField{}, false
}
