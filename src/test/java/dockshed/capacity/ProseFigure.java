package dockshed.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.MatchResult;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A figure in the page's prose, followed by the id of its row: {@code 41,200 connections (`broker_connections`)}.
 *
 * @param line its line on the page, from 1
 * @param text the figure as written
 * @param id the id of the row that the figure is taken from
 */
record ProseFigure(int line, String text, String id) {
    /** Groups: the figure, the words up to the id, the id, what closes it. */
    static final Pattern FORM = Pattern.compile("(" + Figure.NOT_MEASURED + "|" + Figure.NOT_REACHED + "|" + Figure.FORM
            + ")([^`\\d(|;.:]{0,60}?\\(`)([a-z][a-z0-9_]*)(`\\))");

    private static final Pattern CODE = Pattern.compile("`[^`]*`");
    private static final Pattern LINK_TARGET = Pattern.compile("\\]\\([^)]*\\)");
    /** Numbers that a reader would take for figures: with two or more digits, or with decimals. */
    private static final Pattern BARE_FIGURE = Pattern.compile("(?<![\\p{L}\\d.,])\\d(?:[\\d,]*\\d|\\.\\d+)");

    /** The figures with ids, in the order of the prose. */
    static List<ProseFigure> in(String prose) {
        List<ProseFigure> figures = new ArrayList<>();
        Matcher found = FORM.matcher(prose);
        while (found.find()) {
            figures.add(new ProseFigure(lineOf(prose, found.start()), found.group(1), found.group(3)));
        }
        return figures;
    }

    /** One fault for each figure that is not followed by an id. */
    static List<String> faultsOfBareFigures(String prose) {
        String remaining = blank(LINK_TARGET, blank(CODE, blank(FORM, prose)));
        List<String> faults = new ArrayList<>();
        Matcher found = BARE_FIGURE.matcher(remaining);
        while (found.find()) {
            faults.add("line " + lineOf(remaining, found.start()) + ": the figure " + found.group()
                    + " is followed by no id of a row");
        }
        return faults;
    }

    /** Replaces matches by spaces and keeps line ends, so that the lines of the rest stay the same. */
    private static String blank(Pattern pattern, String text) {
        return pattern.matcher(text).replaceAll(ProseFigure::spaces);
    }

    private static String spaces(MatchResult found) {
        return found.group().replaceAll("[^\n]", " ");
    }

    private static int lineOf(String text, int offset) {
        return 1
                + (int) text.substring(0, offset)
                        .chars()
                        .filter(character -> character == '\n')
                        .count();
    }
}
