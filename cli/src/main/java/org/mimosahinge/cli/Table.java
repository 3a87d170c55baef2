package org.mimosahinge.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Stream;

/** Formats rows as a text table with aligned columns. */
final class Table {
    private Table() {}

    static <T> List<String> lines(List<String> header, List<T> items, Function<T, List<Object>> cells) {
        List<List<String>> rows = Stream.concat(
                        Stream.of(header), items.stream().map(item -> cells.apply(item).stream()
                                .map(String::valueOf)
                                .toList()))
                .toList();
        List<String> lines = new ArrayList<>();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < row.size(); column++) {
                String cell = row.get(column);
                line.append(cell).append(" ".repeat(width(rows, column) - cell.length() + 2));
            }
            lines.add(line.toString().stripTrailing());
        }
        return lines;
    }

    private static int width(List<List<String>> rows, int column) {
        return rows.stream().mapToInt(row -> row.get(column).length()).max().orElse(0);
    }
}
