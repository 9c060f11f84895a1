package dockshed.choice;

import dockshed.Director.Actions;
import dockshed.Director.Settings;
import dockshed.model.AttemptRates;
import dockshed.model.EdgeServers;
import dockshed.model.RenditionLadder;
import dockshed.model.Sessions;
import java.util.Random;

/** What all parts of the module share: settings, what they may do, what is drawn at random, and what is known. */
record Context(
        Settings settings,
        Actions actions,
        Random random,
        RenditionLadder ladder,
        EdgeServers servers,
        Sessions sessions,
        AttemptRates rates) {}
